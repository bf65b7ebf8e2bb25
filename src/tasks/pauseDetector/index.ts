/** Notices that the process has been paused and woken up late. */
import { heartbeatIntervalMs, pauseThresholdMs } from "../../constants";
import { type Clock } from "../_lib/clock";
import { type MessageBus } from "../messages";

/** Owns the heartbeat; a gap in it is a pause, which is published before anything else is done. */
export class PauseDetector {
    private lastBeatMs: number;
    private stopInterval: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly bus: MessageBus) {
        this.lastBeatMs = clock.readMonotonicMs();
    }

    start(): void {
        this.lastBeatMs = this.clock.readMonotonicMs();
        this.stopInterval = this.clock.startInterval(heartbeatIntervalMs, () => this.check());
    }

    stop(): void {
        this.stopInterval?.();
        this.stopInterval = undefined;
    }

    /** Looks for a gap; called by the heartbeat, and before each request that a pause could make unsafe. */
    check(): void {
        const nowMs = this.clock.readMonotonicMs();
        const gapMs = nowMs - this.lastBeatMs;
        this.lastBeatMs = nowMs;
        if (this.stopInterval && gapMs > pauseThresholdMs) {
            this.bus.publish({ kind: "paused", pausedMs: gapMs, wokeAtMs: nowMs });
        }
    }
}
