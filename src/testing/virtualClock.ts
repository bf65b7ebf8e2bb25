import { Heap } from "heap-js";
import { type Clock } from "../tasks/_lib/clock";

interface ScheduledEvent {
    readonly atMs: number;
    readonly sequence: number;
    readonly run: () => void;
}

const compareEvents = (first: ScheduledEvent, second: ScheduledEvent): number =>
    first.atMs - second.atMs || first.sequence - second.sequence;

/**
 * A clock whose time advances only in `runUntil`, from one scheduled event to the next.
 * Events that are due at the same time run in the order in which they were scheduled.
 */
export class VirtualClock implements Clock {
    private nowMs = 0;
    private sequence = 0;
    private readonly events = new Heap<ScheduledEvent>(compareEvents);

    constructor(private readonly wallStartMs = Date.UTC(2026, 0, 1)) {}

    readonly readMonotonicMs = (): number => this.nowMs;

    readonly readWallMs = (): number => Math.floor(this.wallStartMs + this.nowMs);

    readonly startInterval = (intervalMs: number, handle: () => void): () => void => {
        let isStopped = false;
        const runAgain = (): void => {
            if (!isStopped) {
                handle();
                this.schedule(intervalMs, runAgain);
            }
        };
        this.schedule(intervalMs, runAgain);
        return () => {
            isStopped = true;
        };
    };

    readonly startTimeout = (delayMs: number, handle: () => void): () => void => {
        let isCancelled = false;
        this.schedule(delayMs, () => {
            if (!isCancelled) {
                handle();
            }
        });
        return () => {
            isCancelled = true;
        };
    };

    /** Schedules a callback after a delay in milliseconds; it runs during `runUntil`. */
    readonly schedule = (delayMs: number, run: () => void): void => {
        this.sequence += 1;
        this.events.push({ atMs: this.nowMs + delayMs, sequence: this.sequence, run });
    };

    /** Runs all events that are due up to a monotonic time in milliseconds, and advances the clock to it. */
    runUntil(untilMs: number): void {
        for (let next = this.events.peek(); next && next.atMs <= untilMs; next = this.events.peek()) {
            this.events.pop();
            this.nowMs = next.atMs;
            next.run();
        }
        this.nowMs = untilMs;
    }
}
