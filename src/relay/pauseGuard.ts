/** Detects pauses of the process, after which requests may have waited unread in the sockets. */
import { type Clock } from "../tasks/_lib/clock";
import { GapDetector } from "../tasks/_lib/gapDetector";
import { type EventLog } from "./log";

/** Interval of the ticks that detect pauses while no requests are read, in milliseconds; under half of `minPauseMs`. */
const tickMs = 100;
/** Gap between checks above which the process counts as paused rather than busy, in milliseconds. */
const minPauseMs = 250;
/** Time after a pause until the requests that arrived during it have been read, in milliseconds. */
const staleReadWindowMs = 150;

/** Detects pauses, and computes how long a request may have waited unread in the last one. */
export class PauseGuard {
    private readonly gapDetector: GapDetector;
    private resumedAtMs = -Infinity;
    private pauseMs = 0;

    constructor(clock: Clock, log: EventLog) {
        this.gapDetector = new GapDetector(clock, {
            intervalMs: tickMs,
            thresholdMs: minPauseMs,
            onGap: (gapMs, resumedAtMs) => {
                this.pauseMs = gapMs;
                this.resumedAtMs = resumedAtMs;
                log.writeAlways("process-paused", { pauseMs: Math.round(gapMs) });
            },
        });
    }

    start(): void {
        this.gapDetector.start();
    }

    stop(): void {
        this.gapDetector.stop();
    }

    /** Returns how long a request read now may have waited unread because of a process pause, in milliseconds. */
    readStaleMs(): number {
        const nowMs = this.gapDetector.check();
        return nowMs - this.resumedAtMs < staleReadWindowMs ? this.pauseMs : 0;
    }
}
