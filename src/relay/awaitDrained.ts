/** Waits after the stop signal until all requests are answered or the grace period ends. */

/** Functions and time limits that determine when the node is drained; all times are in milliseconds. */
export interface DrainDependencies {
    /** Returns the number of requests that have not been answered yet. */
    readonly readPending: () => number;
    /** Returns the monotonic time at which the last request arrived at the entry. */
    readonly readLastEntryMs: () => number;
    readonly readNowMs: () => number;
    /** Time from the stop signal until callers have observed that the node is leaving. */
    readonly leaveAfterMs: number;
    /** Time from the stop signal until the process is killed. */
    readonly graceMs: number;
}

/** Time without requests at the entry after which callers are assumed to have left, in milliseconds. */
const entryIdleMs = 300;
/** Time reserved for closing before the process is killed, in milliseconds; listeners use `closeGraceMs` of it. */
export const stopMarginMs = 900;
/** Interval between two checks whether the node is drained, in milliseconds. */
const pollIntervalMs = 20;

/**
 * Resolves when callers have observed that the node is leaving, the entry is idle and all requests are answered; at the
 * latest `stopMarginMs` before the process is killed.
 */
export const awaitDrained = async (dependencies: DrainDependencies): Promise<void> => {
    const startMs = dependencies.readNowMs();
    const isDone = (): boolean => {
        const nowMs = dependencies.readNowMs();
        if (nowMs - startMs > dependencies.graceMs - stopMarginMs) {
            return true;
        }
        const isEntryIdle = nowMs - dependencies.readLastEntryMs() > entryIdleMs;
        return dependencies.readPending() === 0 && isEntryIdle && nowMs - startMs > dependencies.leaveAfterMs;
    };
    while (!isDone()) {
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
};
