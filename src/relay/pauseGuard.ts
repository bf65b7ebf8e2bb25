/** Notices that the process has stood still, and for how long what it reads next may have waited in the sockets. */
import { type Clock } from "../tasks/_lib/clock";

/** Interval of the ticks by which a pause shows while no request is read, in milliseconds; less than half a pause. */
const tickMs = 100;
/** A gap between ticks that is a pause rather than ordinary work, in milliseconds. */
const smallestPauseMs = 250;
/** What is read this soon after a pause may have been waiting all the while, in milliseconds. */
const staleReadMs = 150;

/** Owns the ticks; a gap in them is a pause. */
export class PauseGuard {
    private lastTickMs: number;
    private wokeAtMs = -Infinity;
    private pauseMs = 0;
    private stopTicks: (() => void) | undefined;

    constructor(private readonly clock: Clock, private readonly onPause: (pauseMs: number) => void) {
        this.lastTickMs = clock.readMonotonicMs();
    }

    start(): void {
        this.lastTickMs = this.clock.readMonotonicMs();
        this.stopTicks = this.clock.startInterval(tickMs, () => this.check());
    }

    stop(): void {
        this.stopTicks?.();
        this.stopTicks = undefined;
    }

    /** Time by which a request that is read now may be older than it says, in milliseconds. */
    readStaleMs(): number {
        const nowMs = this.check();
        return nowMs - this.wokeAtMs < staleReadMs ? this.pauseMs : 0;
    }

    private check(): number {
        const nowMs = this.clock.readMonotonicMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (this.stopTicks && gapMs > smallestPauseMs) {
            this.pauseMs = gapMs;
            this.wokeAtMs = nowMs;
            this.onPause(gapMs);
        }
        return nowMs;
    }
}
