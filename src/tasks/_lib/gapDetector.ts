import { type Clock } from "./clock";

/** What a watch for gaps looks for. */
export interface GapDetectorOptions {
    readonly intervalMs: number;
    /** A gap longer than this is a pause of the process rather than ordinary work, in milliseconds. */
    readonly thresholdMs: number;
    /** Told before anything else is done. */
    readonly onGap: (gapMs: number, wokeAtMs: number) => void;
}

/** Owns ticks at a steady interval; a gap in them means that the process has stood still. */
export class GapDetector {
    private lastMs: number;
    private stopTicks: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly options: GapDetectorOptions) {
        this.lastMs = clock.readMonotonicMs();
    }

    start(): void {
        this.lastMs = this.clock.readMonotonicMs();
        this.stopTicks = this.clock.startInterval(this.options.intervalMs, () => this.check());
    }

    stop(): void {
        this.stopTicks?.();
        this.stopTicks = undefined;
    }

    /** Looks for a gap, also between two ticks; returns the steady time, in milliseconds. */
    check(): number {
        const nowMs = this.clock.readMonotonicMs();
        const gapMs = nowMs - this.lastMs;
        this.lastMs = nowMs;
        if (this.stopTicks && gapMs > this.options.thresholdMs) {
            this.options.onGap(gapMs, nowMs);
        }
        return nowMs;
    }
}
