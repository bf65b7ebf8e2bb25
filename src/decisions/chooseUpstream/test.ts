import { chooseUpstream, type UpstreamCandidate, type UpstreamChoiceOptions } from "./index";

const createCandidate = (changes: Partial<UpstreamCandidate> = {}): UpstreamCandidate => ({
    id: "local",
    isLocalDomain: true,
    pendingRequests: 0,
    limit: 10,
    meanServiceMs: 50,
    reportAgeMs: 0,
    isOutlier: false,
    ...changes,
});

const createOptions = (changes: Partial<UpstreamChoiceOptions> = {}): UpstreamChoiceOptions => ({
    domainPenaltyMs: 30,
    mayExplore: true,
    randoms: [0.99, 0.5],
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
    it("avoids a slow upstream, and explores it again when its last report is old", () => {
        const slow = createCandidate({ id: "slow", meanServiceMs: 400, reportAgeMs: 1_500 });
        const candidates = [slow, createCandidate({ id: "fast" })];
        expect(chooseUpstream(candidates, createOptions())?.id).toBe("fast");
        expect(chooseUpstream(candidates, createOptions({ randoms: [0.05, 0.5] }))?.id).toBe("slow");
    });

    it("does not explore with a request that may not be used for it", () => {
        const slow = createCandidate({ id: "slow", meanServiceMs: 400, reportAgeMs: 1_500 });
        const options = createOptions({ randoms: [0.05, 0.5], mayExplore: false });
        expect(chooseUpstream([slow, createCandidate({ id: "fast" })], options)?.id).toBe("fast");
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
