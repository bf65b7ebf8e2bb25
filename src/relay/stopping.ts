/** Limits the duration of direct requests after the stop signal. */
import { stopMarginMs } from "./awaitDrained";

/** Time limits of a stop, in milliseconds from the stop signal. */
export interface StopBounds {
    /** Time by which callers have observed that the node is leaving. */
    readonly leaveAfterMs: number;
    /** Time at which the process is killed. */
    readonly stopGraceMs: number;
}

/** Records the stop signal and computes the time that is left after it. */
export class Stopping {
    private signalAtMs: number | undefined;
    private isClosing = false;

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

    /** Records that the listeners close: requests that still arrive are refused, since nothing waits for their answers. */
    beginClosing(): void {
        this.isClosing = true;
    }

    /**
     * Computes how long a direct request that starts now may take, in milliseconds. Returns Infinity until callers have
     * observed that the node is leaving, and then the time until the process begins to close.
     */
    computeTimeLeftMs(): number {
        if (this.signalAtMs === undefined) {
            return Infinity;
        }
        if (this.isClosing) {
            return 0;
        }
        const { leaveAfterMs, stopGraceMs } = this.readBounds();
        const elapsedMs = this.readNowMs() - this.signalAtMs;
        return elapsedMs < leaveAfterMs ? Infinity : stopGraceMs - stopMarginMs - elapsedMs;
    }
}
