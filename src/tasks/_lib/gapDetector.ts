import { type Clock } from "./clock";

export interface GapDetectorOptions {
    /** Interval between two checks by the timer, in milliseconds. */
    readonly intervalMs: number;
    /** Longest gap between two checks that ordinary work may cause, in milliseconds; a longer one is a pause. */
    readonly thresholdMs: number;
    /** Called by the check that finds a gap, before it returns; `resumedAtMs` is the monotonic time of the check. */
    readonly onGap: (gapMs: number, resumedAtMs: number) => void;
}

/** Checks at an interval how long ago the last check was; a long gap means that the process was paused. */
export class GapDetector {
    private lastCheckMs: number;
    private stopInterval: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly options: GapDetectorOptions) {
        this.lastCheckMs = clock.readMonotonicMs();
    }

    start(): void {
        this.lastCheckMs = this.clock.readMonotonicMs();
        this.stopInterval = this.clock.startInterval(this.options.intervalMs, () => this.check());
    }

    stop(): void {
        this.stopInterval?.();
        this.stopInterval = undefined;
    }

    /** Checks for a gap since the last check; returns the current monotonic time, in milliseconds. */
    check(): number {
        const nowMs = this.clock.readMonotonicMs();
        const gapMs = nowMs - this.lastCheckMs;
        this.lastCheckMs = nowMs;
        if (this.stopInterval && gapMs > this.options.thresholdMs) {
            this.options.onGap(gapMs, nowMs);
        }
        return nowMs;
    }
}
