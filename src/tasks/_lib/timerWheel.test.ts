import { VirtualClock } from "../../testing/virtualClock";
import { TimerWheel } from "./timerWheel";

describe("TimerWheel", () => {
    // Guards against a node whose requests never time out again because one timeout has thrown.
    it("expires all other timeouts, also later ones, when one throws", () => {
        const clock = new VirtualClock();
        const wheel = new TimerWheel(clock);
        const expired: string[] = [];
        const throwError = (): void => {
            throw new Error("thrown by a timeout");
        };
        wheel.add(100, () => expired.push("before"));
        wheel.add(100, throwError);
        wheel.add(100, () => expired.push("after"));
        wheel.add(900, () => expired.push("later"));
        expect(() => clock.runUntil(clock.readMonotonicMs() + 500)).toThrow("thrown by a timeout");
        wheel.add(100, () => expired.push("added"));
        clock.runUntil(clock.readMonotonicMs() + 3_000);
        expect(expired).toEqual(["before", "after", "added", "later"]);
    });

    // Guards against a node that is busy with a timer that is due at once again and again, as one of 25 days was.
    it("sets no timer that is longer than the engine's timers can be", () => {
        const delays: number[] = [];
        const clock = {
            readMonotonicMs: () => 0,
            readWallMs: () => 0,
            startInterval: () => () => undefined,
            startTimeout: (delayMs: number) => {
                delays.push(delayMs);
                return () => undefined;
            },
        };
        new TimerWheel(clock).add(1e13, () => undefined);
        expect(Math.max(...delays)).toBeLessThan(2 ** 31);
    });
});
