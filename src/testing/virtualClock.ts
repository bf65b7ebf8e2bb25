import { Heap } from "heap-js";
import { type Clock } from "../tasks/_lib/clock";

interface Scheduled {
    readonly atMs: number;
    readonly sequence: number;
    readonly run: () => void;
}

const compareScheduled = (first: Scheduled, second: Scheduled): number =>
    first.atMs - second.atMs || first.sequence - second.sequence;

/** A clock whose time passes only from one scheduled event to the next. */
export class VirtualClock implements Clock {
    private nowMs = 0;
    private sequence = 0;
    private readonly heap = new Heap<Scheduled>(compareScheduled);

    constructor(private readonly wallStartMs = Date.UTC(2026, 0, 1)) {}

    readonly readMonotonicMs = (): number => this.nowMs;

    readonly readWallMs = (): number => Math.floor(this.wallStartMs + this.nowMs);

    readonly startInterval = (intervalMs: number, handle: () => void): () => void => {
        let stopped = false;
        const runAgain = (): void => {
            if (!stopped) {
                handle();
                this.schedule(intervalMs, runAgain);
            }
        };
        this.schedule(intervalMs, runAgain);
        return () => {
            stopped = true;
        };
    };

    /** Schedules an event after a number of milliseconds. */
    readonly schedule = (delayMs: number, run: () => void): void => {
        this.sequence += 1;
        this.heap.push({ atMs: this.nowMs + delayMs, sequence: this.sequence, run });
    };

    /** Runs all events up to a time. */
    runUntil(untilMs: number): void {
        for (let next = this.heap.peek(); next && next.atMs <= untilMs; next = this.heap.peek()) {
            this.heap.pop();
            this.nowMs = next.atMs;
            next.run();
        }
        this.nowMs = untilMs;
    }
}
