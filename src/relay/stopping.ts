/** The time that is left to a process once it has been told to stop. */
import { stopMarginMs } from "./awaitDrained";

/** Bounds on a stop, in milliseconds from the signal. */
export interface StopBounds {
    /** Callers have learned by then that the node is leaving. */
    readonly leaveAfterMs: number;
    /** The process is killed then. */
    readonly stopGraceMs: number;
}

/** Owns the time of the stop signal. */
export class Stopping {
    private sinceMs: number | undefined;

    constructor(private readonly readBounds: () => StopBounds, private readonly readNowMs: () => number) {}

    /** Whether the stop signal has come. */
    get hasBegun(): boolean {
        return this.sinceMs !== undefined;
    }

    /** Records the stop signal; false when it has come before. */
    tryBegin(): boolean {
        if (this.hasBegun) {
            return false;
        }
        this.sinceMs = this.readNowMs();
        return true;
    }

    /**
     * Computes how long a request that a caller begins now may take, in milliseconds. While callers can't know yet that
     * the node is leaving, all are taken; later only what is over before the process ends.
     */
    computeTimeLeftMs(): number {
        if (this.sinceMs === undefined) {
            return Infinity;
        }
        const { leaveAfterMs, stopGraceMs } = this.readBounds();
        const elapsedMs = this.readNowMs() - this.sinceMs;
        return elapsedMs < leaveAfterMs ? Infinity : stopGraceMs - stopMarginMs - elapsedMs;
    }
}
