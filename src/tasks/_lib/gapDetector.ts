import { type Clock } from "./clock";

/** Options of a gap detector. */
export interface GapDetectorOptions {
    /** Interval between two ticks, in milliseconds. */
    readonly intervalMs: number;
    /** A longer gap counts as a pause of the process rather than ordinary work, in milliseconds. */
    readonly thresholdMs: number;
    /** Called before any other work is done; both times are in milliseconds, `resumedAtMs` is monotonic. */
    readonly onGap: (gapMs: number, resumedAtMs: number) => void;
}

/** Runs an interval timer; a gap between two of its ticks means that the process was paused. */
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

    /** Checks for a gap, also between two ticks; returns the current monotonic time, in milliseconds. */
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
