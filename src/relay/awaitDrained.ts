/** Waits after the stop signal until all requests are answered or the grace period ends. */

/** Counters, clock and time limits that decide when the node is drained; times in milliseconds. */
export interface DrainDependencies {
    /** Returns the number of requests that have not been answered yet. */
    readonly readPending: () => number;
    /** Returns the monotonic time at which the last request arrived at the entry. */
    readonly readLastEntryMs: () => number;
    readonly readNowMs: () => number;
    /** Time within which callers observe that the node is leaving. */
    readonly leaveAfterMs: number;
    /** Time from the stop signal until the process is killed. */
    readonly graceMs: number;
}

/** Time without requests at the entry after which callers no longer use the node, in milliseconds. */
const entryIdleMs = 300;
/** Time reserved for closing before the process is killed, in milliseconds; listeners use `closeGraceMs` of it. */
export const stopMarginMs = 900;
/** Polling interval, in milliseconds. */
const pollMs = 20;

/** Resolves when callers send no more requests and all requests are answered, or shortly before the kill. */
export const awaitDrained = async (dependencies: DrainDependencies): Promise<void> => {
    const startMs = dependencies.readNowMs();
    const isOver = (): boolean => {
        const nowMs = dependencies.readNowMs();
        if (nowMs - startMs > dependencies.graceMs - stopMarginMs) {
            return true;
        }
        const isEntryIdle = nowMs - dependencies.readLastEntryMs() > entryIdleMs;
        return dependencies.readPending() === 0 && isEntryIdle && nowMs - startMs > dependencies.leaveAfterMs;
    };
    while (!isOver()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};
