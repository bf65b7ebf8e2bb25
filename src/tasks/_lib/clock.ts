/** Sources of time and chance, replaced in tests. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    readonly readMonotonicMs: () => number;
    /** Time of day in milliseconds since 1970. */
    readonly readWallMs: () => number;
}

/** The clock of the machine. */
export const systemClock: Clock = {
    readMonotonicMs: () => performance.now(),
    readWallMs: () => Date.now(),
};
