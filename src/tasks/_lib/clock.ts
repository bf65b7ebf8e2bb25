import { type Instant } from "../../types";

/** Reads the time and runs timers; tests use a virtual clock instead. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    readonly readMonotonicMs: () => number;
    /** Wall clock time in milliseconds since 1970. */
    readonly readWallMs: () => number;
    /** Calls `handle` at a fixed interval; returns a function that stops the interval. */
    readonly startInterval: (intervalMs: number, handle: () => void) => () => void;
    /** Calls `handle` once after a delay; returns a function that cancels the call. */
    readonly startTimeout: (delayMs: number, handle: () => void) => () => void;
}

/** Reads both clocks. */
export const readInstant = (
    { readMonotonicMs, readWallMs }: Pick<Clock, "readMonotonicMs" | "readWallMs">,
): Instant => ({
    monotonicMs: readMonotonicMs(),
    wallMs: readWallMs(),
});

/** Resolves after a delay, in milliseconds. */
export const awaitDelay = (clock: Clock, delayMs: number): Promise<void> =>
    new Promise(resolve => {
        clock.startTimeout(delayMs, resolve);
    });

/** Clock of the operating system; its timers don't keep the process running. */
export const systemClock: Clock = {
    readMonotonicMs: () => performance.now(),
    readWallMs: () => Date.now(),
    startInterval: (intervalMs, handle) => {
        const interval = setInterval(handle, intervalMs);
        interval.unref();
        return () => clearInterval(interval);
    },
    startTimeout: (delayMs, handle) => {
        const timeout = setTimeout(handle, delayMs);
        timeout.unref();
        return () => clearTimeout(timeout);
    },
};
