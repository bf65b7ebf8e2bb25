/** Detects that the process has been paused. */
import { heartbeatIntervalMs, pauseThresholdMs } from "../../constants";
import { type Clock } from "../_lib/clock";
import { GapDetector } from "../_lib/gapDetector";
import { type MessageBus } from "../messages";

/** Owns the heartbeat. A gap in it is a pause of the process, which is published before any other work is done. */
export class PauseDetector {
    private readonly gapDetector: GapDetector;

    constructor(clock: Clock, bus: MessageBus) {
        this.gapDetector = new GapDetector(clock, {
            intervalMs: heartbeatIntervalMs,
            thresholdMs: pauseThresholdMs,
            onGap: (pausedMs, resumedAtMs) => bus.publish({ kind: "paused", pausedMs, resumedAtMs }),
        });
    }

    start(): void {
        this.gapDetector.start();
    }

    stop(): void {
        this.gapDetector.stop();
    }

    /** Checks for a gap; has to be called before each request that is unsafe to run after a pause. */
    check(): void {
        this.gapDetector.check();
    }
}
