/** Sources of time and chance, replaced in tests. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    readonly readMonotonicMs: () => number;
    /** Time of day in milliseconds since 1970. */
    readonly readWallMs: () => number;
    /** Calls back at a steady interval; returns what stops that. */
    readonly startInterval: (intervalMs: number, handle: () => void) => () => void;
}

/** The clock of the machine. */
export const systemClock: Clock = {
    readMonotonicMs: () => performance.now(),
    readWallMs: () => Date.now(),
    startInterval: (intervalMs, handle) => {
        const interval = setInterval(handle, intervalMs);
        interval.unref();
        return () => clearInterval(interval);
    },
};
