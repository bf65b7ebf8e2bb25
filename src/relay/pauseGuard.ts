/** Notices that the process has stood still, and for how long what it reads next may have waited in the sockets. */
import { type Clock } from "../tasks/_lib/clock";
import { GapDetector } from "../tasks/_lib/gapDetector";

/** Interval of the ticks by which a pause shows while no request is read, in milliseconds; less than half a pause. */
const tickMs = 100;
/** A gap between ticks that is a pause rather than ordinary work, in milliseconds. */
const smallestPauseMs = 250;
/** What is read this soon after a pause may have been waiting all the while, in milliseconds. */
const staleReadMs = 150;

/** Owns the watch for pauses, and what the last one was. */
export class PauseGuard {
    private readonly watch: GapDetector;
    private wokeAtMs = -Infinity;
    private pauseMs = 0;

    constructor(clock: Clock, onPause: (pauseMs: number) => void) {
        this.watch = new GapDetector(clock, {
            intervalMs: tickMs,
            thresholdMs: smallestPauseMs,
            onGap: (gapMs, wokeAtMs) => {
                this.pauseMs = gapMs;
                this.wokeAtMs = wokeAtMs;
                onPause(gapMs);
            },
        });
    }

    start(): void {
        this.watch.start();
    }

    stop(): void {
        this.watch.stop();
    }

    /** Time by which a request that is read now may be older than it says, in milliseconds. */
    readStaleMs(): number {
        const nowMs = this.watch.check();
        return nowMs - this.wokeAtMs < staleReadMs ? this.pauseMs : 0;
    }
}
