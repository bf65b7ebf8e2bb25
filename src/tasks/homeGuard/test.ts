import { createInstances, createSettings } from "../../testing/virtualGraph";
import { type Clock } from "../_lib/clock";
import { MessageBus } from "../messages";
import { PauseDetector } from "../pauseDetector";
import { HomeGuard } from "./index";

const settings = createSettings("desk-a", "desk", "zone-a", 0);
const replacement = createSettings("desk-a", "desk", "zone-a", 7);

/** Creates a guard with a clock and a heartbeat that the test controls. */
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
        startTimeout: () => () => undefined,
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
        confirmInstances: (queriedAtMs: number): void => bus.publish({ kind: "instancesConfirmed", queriedAtMs }),
        readNowMs: () => nowMs,
    };
};

describe("HomeGuard", () => {
    it.each([1_500, 10_000, 60_000])("is unsure at the first request after a pause of %d ms", pausedMs => {
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

    it("is sure again only if the query was sent after the process resumed", () => {
        const { guard, detector, advanceClock, confirmInstances, readNowMs } = createGuard();
        advanceClock(10_000);
        detector.check();
        confirmInstances(9_000);
        expect(guard.state).toBe("unsure");
        confirmInstances(readNowMs());
        expect(guard.state).toBe("sure");
    });

    it("stays replaced once its endpoint has been listed at another address", () => {
        const { guard, detector, advanceClock, confirmInstances, bus, readNowMs } = createGuard();
        advanceClock(10_000);
        detector.check();
        bus.publish({ kind: "instancesRead", instances: createInstances([replacement]), revision: 2 });
        confirmInstances(readNowMs());
        bus.publish({ kind: "instancesRead", instances: createInstances([settings]), revision: 3 });
        confirmInstances(readNowMs());
        expect(guard.state).toBe("replaced");
    });
});
