import { createInstances, createSettings } from "../../testing/virtualGraph";
import { type Clock } from "../_lib/clock";
import { MessageBus } from "../messages";
import { PauseDetector } from "../pauseDetector";
import { HomeGuard } from "./index";

const settings = createSettings("desk-a", "desk", "zone-a", 0);
const replacement = createSettings("desk-a", "desk", "zone-a", 7);

/** Creates the guard of a node with a clock and heartbeat that the test controls. */
const createGuard = () => {
    const bus = new MessageBus();
    let nowMs = 0;
    let sendHeartbeat: () => void = () => undefined;
    const clock: Clock = {
        readMonotonicMs: () => nowMs,
        readWallMs: () => nowMs,
        startInterval: (intervalMs, handle) => {
            sendHeartbeat = handle;
            return () => undefined;
        },
    };
    const detector = new PauseDetector(clock, bus);
    const guard = new HomeGuard(settings, bus);
    detector.start();
    bus.publish({ kind: "instancesRead", instances: createInstances([settings]), revision: 1 });
    return {
        bus,
        guard,
        detector,
        advanceClock: (ms: number): void => {
            nowMs += ms;
        },
        sendHeartbeat: (): void => sendHeartbeat(),
        confirm: (queriedAtMs: number): void => bus.publish({ kind: "instancesConfirmed", queriedAtMs }),
        readNowMs: () => nowMs,
    };
};

describe("HomeGuard", () => {
    it.each([1_500, 10_000, 60_000])("is unsure after a pause of %d ms, from the first request on", pausedMs => {
        const { guard, detector, advanceClock } = createGuard();
        advanceClock(pausedMs);
        detector.check();
        expect(guard.state).toBe("unsure");
    });

    it("stays sure while the heartbeat continues", () => {
        const { guard, advanceClock, sendHeartbeat } = createGuard();
        Array.from({ length: 100 }, () => {
            advanceClock(250);
            sendHeartbeat();
        });
        expect(guard.state).toBe("sure");
    });

    it("is sure again only after a query that was sent after the process resumed", () => {
        const { guard, detector, advanceClock, confirm, readNowMs } = createGuard();
        advanceClock(10_000);
        detector.check();
        confirm(9_000);
        expect(guard.state).toBe("unsure");
        confirm(readNowMs());
        expect(guard.state).toBe("sure");
    });

    it("never becomes the home again once its endpoint is listed at another address", () => {
        const { guard, detector, advanceClock, confirm, bus, readNowMs } = createGuard();
        advanceClock(10_000);
        detector.check();
        bus.publish({ kind: "instancesRead", instances: createInstances([replacement]), revision: 2 });
        confirm(readNowMs());
        bus.publish({ kind: "instancesRead", instances: createInstances([settings]), revision: 3 });
        confirm(readNowMs());
        expect(guard.state).toBe("replaced");
    });
});
