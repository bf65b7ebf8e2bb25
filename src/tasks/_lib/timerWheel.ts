import { timerTickMs } from "../../constants";
import { type Clock } from "./clock";

/** Pending timeout of a timer wheel; pass it to `remove` to cancel it. */
export interface Timeout {
    /** Monotonic time, in milliseconds. */
    readonly dueAtMs: number;
    readonly expire: () => void;
    /** Timeouts of the same tick. */
    readonly bucket: Set<Timeout>;
}

/** Longest delay of a timer of the engine, in milliseconds; a longer one would be due at once. */
const maxTimerMs = 2 ** 31 - 1;

/**
 * Runs many short timeouts on one timer, which is set for the earliest tick that has any. Most timeouts are removed
 * before they expire, so that few ticks are ever reached.
 */
export class TimerWheel {
    private readonly buckets = new Map<number, Set<Timeout>>();
    private cancelTimer: (() => void) | undefined;
    /** Tick for which the timer is set. */
    private nextTick = Infinity;
    private isExpiring = false;

    constructor(private readonly clock: Clock, private readonly tickMs = timerTickMs) {}

    /** Adds a timeout that expires at the first tick that is at least `delayMs` milliseconds away. */
    add(delayMs: number, expire: () => void): Timeout {
        const nowMs = this.clock.readMonotonicMs();
        const dueAtMs = nowMs + delayMs;
        const tick = Math.max(Math.ceil(dueAtMs / this.tickMs), Math.floor(nowMs / this.tickMs) + 1);
        const bucket = this.buckets.get(tick) ?? new Set<Timeout>();
        this.buckets.set(tick, bucket);
        const timeout: Timeout = { dueAtMs, expire, bucket };
        bucket.add(timeout);
        if (tick < this.nextTick && !this.isExpiring) {
            this.startTimer(tick);
        }
        return timeout;
    }

    /** Cancels a timeout; does nothing if it has expired or is undefined. */
    remove(timeout: Timeout | undefined): void {
        timeout?.bucket.delete(timeout);
    }

    /** Calls `expire` of all timeouts that are due, in the order of their ticks. */
    expire(): void {
        const nowTick = Math.floor(this.clock.readMonotonicMs() / this.tickMs);
        this.isExpiring = true;
        try {
            [...this.buckets.keys()].filter(tick => tick <= nowTick).sort((a, b) => a - b).forEach(tick =>
                this.expireBucket(tick)
            );
        }
        finally {
            // Timeouts that are still due after an exception expire at the next turn of the event loop.
            this.isExpiring = false;
            this.startNextTimer();
        }
    }

    /** Stops the timer; pending timeouts no longer expire. */
    stop(): void {
        this.cancelTimer?.();
        this.cancelTimer = undefined;
        this.nextTick = Infinity;
    }

    private startTimer(tick: number): void {
        this.cancelTimer?.();
        this.nextTick = tick;
        const delayMs = Math.min(maxTimerMs, Math.max(0, tick * this.tickMs - this.clock.readMonotonicMs()));
        // A timer may fire a fraction of a millisecond early, before its tick is due.
        this.cancelTimer = this.clock.startTimeout(Math.ceil(delayMs), () => this.expire());
    }

    /** Sets the timer for the earliest tick with timeouts, and drops the buckets whose timeouts have been removed. */
    private startNextTimer(): void {
        let earliestTick = Infinity;
        this.buckets.forEach(({ size }, tick) => {
            if (size === 0) {
                this.buckets.delete(tick);
                return;
            }
            earliestTick = Math.min(earliestTick, tick);
        });
        if (earliestTick === Infinity) {
            this.stop();
            return;
        }
        this.startTimer(earliestTick);
    }

    private expireBucket(tick: number): void {
        const bucket = this.buckets.get(tick);
        if (!bucket) {
            return;
        }
        bucket.forEach(timeout => {
            bucket.delete(timeout);
            timeout.expire();
        });
        this.buckets.delete(tick);
    }
}
