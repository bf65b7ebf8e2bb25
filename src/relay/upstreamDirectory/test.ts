import { createRandom } from "../../_lib/createRandom";
import { createReport } from "../../testing/createReport";
import { createUpstreamRecord } from "../../testing/createRoute";
import { UpstreamDirectory } from "./index";

const createDirectory = () => {
    const clock = { nowMs: 0 };
    const directory = new UpstreamDirectory("pvl-a", () => clock.nowMs);
    directory.update([
        createUpstreamRecord({ id: "near" }),
        createUpstreamRecord({ id: "far", failureDomain: "pvl-b", host: "127.0.0.3" }),
        createUpstreamRecord({ id: "draining", state: "draining" }),
        createUpstreamRecord({ id: "other", service: "gate" }),
    ]);
    const listIds = (excludedIds: readonly string[] = []): string =>
        directory.listCandidates("desk", excludedIds).map(({ id }) => id).join(",");
    return { clock, directory, listIds };
};

describe("UpstreamDirectory", () => {
    // Guards against requests to an upstream that an older list shows as ready after it has said that it is leaving.
    it("never lists an incarnation again that has said that it is leaving, and lists the next one", () => {
        const { clock, directory, listIds } = createDirectory();
        const far = createUpstreamRecord({ id: "far", failureDomain: "pvl-b", host: "127.0.0.3", bornAtMs: 7 });
        directory.update([createUpstreamRecord({ id: "near" }), far]);
        directory.recordLeaving(far);
        expect(listIds()).toBe("near");
        directory.recordReport("far", createReport({ leaving: false }));
        directory.update([createUpstreamRecord({ id: "near" })]);
        clock.nowMs += 60_000;
        directory.update([createUpstreamRecord({ id: "near" }), far]);
        expect(listIds()).toBe("near");
        directory.update([createUpstreamRecord({ id: "near" }), { ...far, bornAtMs: 8 }]);
        expect(listIds()).toBe("near,far");
    });

    it("lists the upstreams that accept requests, without the excluded ones", () => {
        const { listIds } = createDirectory();
        expect(listIds()).toBe("near,far");
        expect(listIds(["near"])).toBe("far");
    });

    it("adjusts the reported load by the requests sent and ended since the report", () => {
        const { directory } = createDirectory();
        directory.recordSent("near");
        directory.recordReport("near", createReport({ inFlight: 5, queued: 2 }));
        directory.recordSent("near");
        directory.recordSent("near");
        expect(directory.listCandidates("desk", [])[0]).toMatchObject({
            pendingRequests: 9,
            limit: 9,
            meanServiceMs: 20,
        });
        directory.recordEnded("near");
        expect(directory.listCandidates("desk", [])[0]!.pendingRequests).toBe(8);
    });

    it("excludes the upstream of a leaving node until the report expires, even if its record is ready", () => {
        const { clock, directory, listIds } = createDirectory();
        directory.recordReport("near", createReport({ leaving: true }));
        expect(listIds()).toBe("far");
        clock.nowMs += 3_100;
        expect(listIds()).toBe("near,far");
    });

    it("treats an unreachable upstream as an outlier, longer after each failure, until it answers", () => {
        const { clock, directory } = createDirectory();
        const isOutlier = (): boolean => directory.listCandidates("desk", [])[0]!.isOutlier;
        expect(directory.recordFailure("near")).toBe(200);
        expect(isOutlier()).toBe(true);
        clock.nowMs += 250;
        expect(isOutlier()).toBe(false);
        expect(directory.recordFailure("near")).toBe(400);
        directory.recordReport("near", createReport());
        expect(isOutlier()).toBe(false);
        expect(directory.recordFailure("near")).toBe(200);
    });

    it("treats an upstream as an outlier for two seconds after another one has taken over its address", () => {
        const { clock, directory } = createDirectory();
        const isOutlier = (): boolean => directory.listCandidates("desk", [])[0]!.isOutlier;
        directory.recordReport("near", createReport());
        directory.recordMoved("near");
        clock.nowMs += 1_900;
        expect(isOutlier()).toBe(true);
        clock.nowMs += 200;
        expect(isOutlier()).toBe(false);
    });

    it("remembers the failures of an upstream for some seconds, and forgets them with successes", () => {
        const { clock, directory } = createDirectory();
        const readRate = (): number => directory.listCandidates("desk", [])[0]!.failureRate;
        for (let result = 0; result < 10; result += 1) {
            directory.recordOutcome("near", true);
        }
        expect(readRate()).toBeGreaterThan(0.7);
        clock.nowMs += 9_000;
        expect(readRate()).toBeLessThan(0.05);
        directory.recordOutcome("near", true);
        const rate = readRate();
        directory.recordOutcome("near", false);
        expect(readRate()).toBeLessThan(rate);
    });

    it("samples no excluded, leaving or draining upstream, and outliers only if there is no other", () => {
        const { directory } = createDirectory();
        const sampleIds = (excludedIds: readonly string[] = []): string =>
            directory.sampleCandidates("desk", excludedIds, createRandom(1)).map(({ id }) => id).join(",");
        expect(sampleIds()).toBe("near,far");
        expect(sampleIds(["near"])).toBe("far");
        directory.recordFailure("far");
        expect(sampleIds()).toBe("near");
        expect(sampleIds(["near"])).toBe("far");
        directory.recordReport("far", createReport({ leaving: true }));
        expect(sampleIds(["near"])).toBe("");
    });

    it("uses no upstream whose address a later one has taken over, even of another service", () => {
        const { directory, listIds } = createDirectory();
        directory.update([
            createUpstreamRecord({ id: "before", bornAtMs: 1 }),
            createUpstreamRecord({ id: "after", bornAtMs: 2 }),
            createUpstreamRecord({ id: "elsewhere", bornAtMs: 1, host: "127.0.0.3" }),
            createUpstreamRecord({ id: "lost", bornAtMs: 1, host: "127.0.0.4" }),
            createUpstreamRecord({ id: "successor", bornAtMs: 5, host: "127.0.0.4", service: "gate" }),
            createUpstreamRecord({ id: "first of a tie", bornAtMs: 1, host: "127.0.0.5" }),
            createUpstreamRecord({ id: "second of a tie", bornAtMs: 1, host: "127.0.0.5" }),
        ]);
        expect(listIds()).toBe("after,elsewhere,first of a tie,second of a tie");
    });

    it("finds the latest record at an address", () => {
        const { directory } = createDirectory();
        directory.update([
            createUpstreamRecord({ id: "old", bornAtMs: 1 }),
            createUpstreamRecord({ id: "new", bornAtMs: 2 }),
        ]);
        expect(directory.findByAddress("127.0.0.2", 9_000)?.id).toBe("new");
        expect(directory.findByAddress("127.0.0.2", 1)).toBeUndefined();
    });
});
