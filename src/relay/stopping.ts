/** Computes the time that is left after the stop signal. */
import { stopMarginMs } from "./awaitDrained";

/** Times of a stop, in milliseconds from the stop signal. */
export interface StopBounds {
    /** Time at which callers have observed that the node is leaving. */
    readonly leaveAfterMs: number;
    /** Time at which the process is killed. */
    readonly stopGraceMs: number;
}

/** Records the time of the stop signal. */
export class Stopping {
    private signalAtMs: number | undefined;

    constructor(private readonly readBounds: () => StopBounds, private readonly readNowMs: () => number) {}

    /** Whether the stop signal has been received. */
    get hasBegun(): boolean {
        return this.signalAtMs !== undefined;
    }

    /** Records the stop signal; returns false if it has been received before. */
    tryBegin(): boolean {
        if (this.hasBegun) {
            return false;
        }
        this.signalAtMs = this.readNowMs();
        return true;
    }

    /**
     * Computes the time that a direct request which starts now may take, in milliseconds. Infinity until callers can
     * have observed that the node is leaving; afterwards the time until the process begins to close.
     */
    computeTimeLeftMs(): number {
        if (this.signalAtMs === undefined) {
            return Infinity;
        }
        const { leaveAfterMs, stopGraceMs } = this.readBounds();
        const elapsedMs = this.readNowMs() - this.signalAtMs;
        return elapsedMs < leaveAfterMs ? Infinity : stopGraceMs - stopMarginMs - elapsedMs;
    }
}
