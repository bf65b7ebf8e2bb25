import { UpstreamLeaving } from "./upstreamLeaving";

const createLeaving = () => {
    const clock = { nowMs: 0 };
    const leaving = new UpstreamLeaving(() => clock.nowMs);
    leaving.update("ready");
    return { clock, leaving };
};

describe("UpstreamLeaving", () => {
    it("gives other nodes a second to learn that the upstream is draining", () => {
        const { clock, leaving } = createLeaving();
        leaving.update("draining");
        clock.nowMs += 1_000;
        expect(leaving.isToleranceOver()).toBe(false);
        clock.nowMs += 1;
        expect(leaving.isToleranceOver()).toBe(true);
    });

    // Guards against a node that refuses late since it counts from when a missing upstream is given up.
    it("counts the time that the upstream was missing before it was given up", () => {
        const { clock, leaving } = createLeaving();
        leaving.update("missing");
        clock.nowMs += 2_200;
        expect(leaving.isToleranceOver()).toBe(false);
        leaving.update(undefined);
        expect(leaving.isToleranceOver()).toBe(true);
    });

    // Guards against requests to an upstream that has said that it is leaving while its entry still says ready.
    it("keeps to what the upstream itself has said, until another incarnation starts", () => {
        const { clock, leaving } = createLeaving();
        leaving.recordAnnouncement();
        clock.nowMs += 600;
        leaving.update("ready");
        leaving.recordAnnouncement();
        clock.nowMs += 600;
        expect(leaving.isToleranceOver()).toBe(true);
        leaving.beginIncarnation();
        expect(leaving.isToleranceOver()).toBe(false);
    });

    it("serves an upstream that has written its entry again", () => {
        const { clock, leaving } = createLeaving();
        leaving.update("missing");
        clock.nowMs += 2_000;
        leaving.update("ready");
        leaving.update("draining");
        expect(leaving.isToleranceOver()).toBe(false);
    });
});
