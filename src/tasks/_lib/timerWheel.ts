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

/** Runs many short timeouts on one interval timer, which stops once no bucket of timeouts is left. */
export class TimerWheel {
    private readonly buckets = new Map<number, Set<Timeout>>();
    private stopInterval: (() => void) | undefined;
    private lastTick = 0;

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
        this.startInterval();
        return timeout;
    }

    /** Cancels a timeout; does nothing if it has expired or is undefined. */
    remove(timeout: Timeout | undefined): void {
        timeout?.bucket.delete(timeout);
    }

    /** Calls `expire` of all timeouts that are due, in the order of their ticks. */
    expire(): void {
        const nowTick = Math.floor(this.clock.readMonotonicMs() / this.tickMs);
        const elapsedTicks = nowTick - this.lastTick;
        // After a long pause, fewer buckets exist than ticks have passed, so the buckets are listed instead.
        const dueTicks = elapsedTicks > this.buckets.size
            ? [...this.buckets.keys()].filter(tick => tick <= nowTick).sort((a, b) => a - b)
            : [...Array(elapsedTicks).keys()].map(offset => this.lastTick + 1 + offset);
        this.lastTick = nowTick;
        dueTicks.forEach(tick => this.expireBucket(tick));
        if (this.buckets.size === 0) {
            this.stop();
        }
    }

    /** Stops the interval timer; pending timeouts no longer expire. */
    stop(): void {
        this.stopInterval?.();
        this.stopInterval = undefined;
    }

    private startInterval(): void {
        if (this.stopInterval) {
            return;
        }
        this.lastTick = Math.floor(this.clock.readMonotonicMs() / this.tickMs);
        this.stopInterval = this.clock.startInterval(this.tickMs, () => this.expire());
    }

    private expireBucket(tick: number): void {
        const bucket = this.buckets.get(tick);
        if (!bucket) {
            return;
        }
        this.buckets.delete(tick);
        bucket.forEach(timeout => {
            bucket.delete(timeout);
            timeout.expire();
        });
    }
}
