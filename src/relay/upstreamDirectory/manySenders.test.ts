/**
 * Load pattern: many nodes with little traffic each. A pair of nodes meets so rarely that nearly all load reports are
 * stale, so that nodes which compare them alike would all send to the same upstream.
 */
import { createRandom } from "../../_lib/createRandom";
import { chooseUpstream } from "../../decisions/chooseUpstream";
import { createReport } from "../../testing/createReport";
import { createUpstreamRecord } from "../../testing/createRoute";
import { UpstreamDirectory } from "./index";

interface FakeUpstream {
    readonly id: string;
    readonly domain: string;
    readonly serviceMs: number;
    /** Share of the requests that it rejects at once. */
    rejectedShare: number;
    inFlight: number;
    served: number;
    rejected: number;
}

interface FleetOptions {
    readonly senders: number;
    /** Requests of each sender in a second. */
    readonly requestsPerSecond: number;
    readonly speeds: readonly number[];
    readonly upstreams: number;
    readonly seconds: number;
    readonly rejectedShares?: (index: number) => number;
}

const domains = ["a", "b", "c", "d", "e"];
const meanServiceMs = 400;
const limit = 40;

/** Plays a fleet in which each sender chooses by what it has learned from its own requests alone. */
const runFleet = (options: FleetOptions): readonly FakeUpstream[] => {
    const { senders, requestsPerSecond, speeds, seconds, rejectedShares } = options;
    const sampleRandom = createRandom(7);
    const clock = { nowMs: 0 };
    const upstreams = Array.from({ length: options.upstreams }, (unused, index): FakeUpstream => ({
        id: `i-${index}`,
        domain: domains[index % domains.length]!,
        serviceMs: meanServiceMs / speeds[index % speeds.length]!,
        rejectedShare: rejectedShares?.(index) ?? 0,
        inFlight: 0,
        served: 0,
        rejected: 0,
    }));
    const byId = new Map(upstreams.map(upstream => [upstream.id, upstream]));
    const records = upstreams.map(({ id, domain }) =>
        createUpstreamRecord({ id, failureDomain: domain, slots: limit })
    );
    const directories = Array.from({ length: senders }, (unused, index) => {
        const directory = new UpstreamDirectory(domains[index % domains.length]!, () => clock.nowMs);
        directory.update(records);
        return directory;
    });
    let answers: { readonly atMs: number; readonly settle: () => void; }[] = [];
    const stepMs = 10;
    for (; clock.nowMs < seconds * 1_000; clock.nowMs += stepMs) {
        const due = answers.filter(({ atMs }) => atMs <= clock.nowMs);
        answers = answers.filter(({ atMs }) => atMs > clock.nowMs);
        due.forEach(({ settle }) => settle());
        directories.filter(() => sampleRandom() < requestsPerSecond * stepMs / 1_000).forEach(directory => {
            const options = { domainPenaltyMs: 50, failurePenaltyMs: 500, sampleRandom };
            const { id } = chooseUpstream(directory.sampleCandidates("desk", [], sampleRandom), options)!;
            const upstream = byId.get(id)!;
            directory.recordSent(id);
            const isRejected = sampleRandom() < upstream.rejectedShare;
            upstream.inFlight += isRejected ? 0 : 1;
            answers.push({
                atMs: clock.nowMs + (isRejected ? 2 : upstream.serviceMs * (0.5 + sampleRandom())),
                settle: () => {
                    upstream.inFlight -= isRejected ? 0 : 1;
                    upstream.served += isRejected ? 0 : 1;
                    upstream.rejected += isRejected ? 1 : 0;
                    directory.recordEnded(id);
                    const { inFlight, serviceMs } = upstream;
                    directory.recordReport(id, createReport({ inFlight, limit, meanServiceMs: serviceMs }));
                    directory.recordOutcome(id, isRejected);
                },
            });
        });
    }
    return upstreams;
};

const computePeakToMean = (upstreams: readonly FakeUpstream[]): number => {
    const counts = upstreams.map(({ served, rejected }) => served + rejected);
    return Math.max(...counts) / (counts.reduce((sum, count) => sum + count, 0) / counts.length);
};

describe("many nodes with little traffic each", () => {
    it("spread their requests over equal upstreams", () => {
        const upstreams = runFleet({ senders: 60, requestsPerSecond: 5, speeds: [1], upstreams: 20, seconds: 20 });
        expect(computePeakToMean(upstreams)).toBeLessThan(1.3);
    });

    it("leave no upstream without requests and overload none when upstreams differ in speed", () => {
        const speeds = [0.6, 1, 1.4];
        const upstreams = runFleet({ senders: 195, requestsPerSecond: 2, speeds, upstreams: 62, seconds: 20 });
        expect(computePeakToMean(upstreams)).toBeLessThan(1.8);
        expect(Math.min(...upstreams.map(({ served }) => served))).toBeGreaterThan(0);
    });

    it("avoid upstreams that reject a part of their requests at once, though they look idle", () => {
        const rejectedShares = (index: number): number => index % 4 === 0 ? 0.5 : 0;
        const upstreams = runFleet({
            senders: 60,
            requestsPerSecond: 10,
            speeds: [1],
            upstreams: 20,
            seconds: 20,
            rejectedShares,
        });
        const sum = (key: "served" | "rejected"): number =>
            upstreams.reduce((total, upstream) => total + upstream[key], 0);
        expect(sum("rejected") / (sum("served") + sum("rejected"))).toBeLessThan(0.06);
    });
});
