import { Stopping } from "./stopping";

const createStopping = () => {
    const clock = { nowMs: 1_000 };
    const bounds = { leaveAfterMs: 2_300, stopGraceMs: 6_000 };
    return { clock, stopping: new Stopping(() => bounds, () => clock.nowMs) };
};

describe("Stopping", () => {
    it("does not limit requests before the signal and until callers have observed it", () => {
        const { clock, stopping } = createStopping();
        expect(stopping.computeTimeLeftMs()).toBe(Infinity);
        expect(stopping.tryBegin()).toBe(true);
        clock.nowMs += 2_000;
        expect(stopping.computeTimeLeftMs()).toBe(Infinity);
    });

    it("limits later requests to the time until the process closes, counted from the first signal", () => {
        const { clock, stopping } = createStopping();
        stopping.tryBegin();
        clock.nowMs += 4_260;
        expect(stopping.tryBegin()).toBe(false);
        expect(stopping.computeTimeLeftMs()).toBe(840);
    });
});
