/** Notices that the process has been paused and woken up late. */
import { heartbeatIntervalMs, pauseThresholdMs } from "../../constants";
import { type Clock } from "../_lib/clock";
import { GapDetector } from "../_lib/gapDetector";
import { type MessageBus } from "../messages";

/** Owns the heartbeat; a gap in it is a pause, which is published before anything else is done. */
export class PauseDetector {
    private readonly watch: GapDetector;

    constructor(clock: Clock, bus: MessageBus) {
        this.watch = new GapDetector(clock, {
            intervalMs: heartbeatIntervalMs,
            thresholdMs: pauseThresholdMs,
            onGap: (pausedMs, wokeAtMs) => bus.publish({ kind: "paused", pausedMs, resumedAtMs: wokeAtMs }),
        });
    }

    start(): void {
        this.watch.start();
    }

    stop(): void {
        this.watch.stop();
    }

    /** Looks for a gap; called before each request that a pause could make unsafe. */
    check(): void {
        this.watch.check();
    }
}
