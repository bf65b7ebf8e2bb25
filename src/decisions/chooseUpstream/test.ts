import { createRandom } from "../../_lib/createRandom";
import { chooseUpstream, type UpstreamCandidate, type UpstreamChoiceOptions } from "./index";

const createCandidate = (changes: Partial<UpstreamCandidate> = {}): UpstreamCandidate => ({
    id: "local",
    isLocalDomain: true,
    pendingRequests: 0,
    limit: 10,
    meanServiceMs: 50,
    reportAgeMs: 0,
    failureRate: 0,
    isOutlier: false,
    ...changes,
});

const createOptions = (changes: Partial<UpstreamChoiceOptions> = {}): UpstreamChoiceOptions => ({
    domainPenaltyMs: 30,
    failurePenaltyMs: 300,
    sampleRandom: createRandom(1),
    ...changes,
});

describe("chooseUpstream across failure domains", () => {
    it("stays in the failure domain while another would save less than the penalty", () => {
        const remote = createCandidate({ id: "remote", isLocalDomain: false, meanServiceMs: 30 });
        expect(chooseUpstream([createCandidate(), remote], createOptions())?.id).toBe("local");
    });

    it("spills over when the wait in its own failure domain exceeds the penalty", () => {
        const remote = createCandidate({ id: "remote", isLocalDomain: false });
        const local = createCandidate({ pendingRequests: 18 });
        expect(chooseUpstream([local, remote], createOptions())?.id).toBe("remote");
    });
});

describe("chooseUpstream with a slow upstream", () => {
    it("avoids a slow upstream, and uses it like any other when its last report is old", () => {
        const chooseOften = (reportAgeMs: number): number => {
            const slow = createCandidate({ id: "slow", meanServiceMs: 400, reportAgeMs });
            const options = createOptions();
            const candidates = [slow, createCandidate({ id: "fast", reportAgeMs })];
            return Array.from({ length: 100 }, () => chooseUpstream(candidates, options)?.id)
                .filter(id => id === "slow").length;
        };
        expect(chooseOften(1_500)).toBe(0);
        expect(chooseOften(Infinity)).toBeGreaterThan(30);
        expect(chooseOften(Infinity)).toBeLessThan(70);
    });
});

describe("chooseUpstream with an upstream that fails part of its requests", () => {
    it("avoids an upstream that rejects requests at once and therefore looks idle", () => {
        const rejecting = createCandidate({ id: "rejecting", failureRate: 0.5, meanServiceMs: 40 });
        const busy = createCandidate({ id: "busy", pendingRequests: 15 });
        expect(chooseUpstream([rejecting, busy], createOptions())?.id).toBe("busy");
    });

    it("uses it when the others are still slower", () => {
        const rejecting = createCandidate({ id: "rejecting", failureRate: 0.5 });
        const full = createCandidate({ id: "full", pendingRequests: 50 });
        expect(chooseUpstream([rejecting, full], createOptions())?.id).toBe("rejecting");
    });
});

describe("chooseUpstream without reports", () => {
    it("spreads requests over equal upstreams", () => {
        const candidates = Array.from(
            { length: 4 },
            (unused, index) => createCandidate({ id: `i-${index}`, meanServiceMs: 0, reportAgeMs: Infinity }),
        );
        const options = createOptions();
        const counts = new Map<string, number>();
        for (let request = 0; request < 2_000; request += 1) {
            const { id } = chooseUpstream(candidates, options)!;
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
        expect(counts.size).toBe(4);
        expect(Math.max(...counts.values())).toBeLessThan(600);
    });
});

describe("chooseUpstream with outliers", () => {
    it("avoids outliers while there are others, and chooses one rather than none", () => {
        const outlier = createCandidate({ id: "outlier", isOutlier: true });
        const remote = createCandidate({ id: "remote", isLocalDomain: false, meanServiceMs: 500 });
        expect(chooseUpstream([outlier, remote], createOptions())?.id).toBe("remote");
        expect(chooseUpstream([outlier], createOptions())?.id).toBe("outlier");
        expect(chooseUpstream([], createOptions())).toBeUndefined();
    });
});
