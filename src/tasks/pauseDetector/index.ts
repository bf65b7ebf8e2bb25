/** Detects that the process has been paused. */
import { heartbeatIntervalMs, pauseThresholdMs } from "../../constants";
import { type Clock } from "../_lib/clock";
import { GapDetector } from "../_lib/gapDetector";
import { type MessageBus } from "../messages";

/** Runs a heartbeat, and publishes a gap in it as a pause of the process before the next request is handled. */
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

    /** Checks for a pause; call it before each request that may be unsafe to run after one. */
    check(): void {
        this.gapDetector.check();
    }
}
