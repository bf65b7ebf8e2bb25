/** Waits after the stop signal until nothing is left to be done, or no more time. */

/** What the wait depends on; times in milliseconds. */
export interface DrainDependencies {
    /** Requests without their final answer. */
    readonly readPending: () => number;
    /** Steady time at which the last request of a caller came. */
    readonly readLastEntryMs: () => number;
    readonly readNowMs: () => number;
    /** Time that callers take to learn that the node is leaving. */
    readonly leaveAfterMs: number;
    /** Time from the stop signal to the kill. */
    readonly graceMs: number;
}

/** Quiet at the entry that shows that the callers have gone, in milliseconds. */
const quietMs = 300;
/** Time that closing takes before the process is killed, in milliseconds; listeners take `closeGraceMs` of it. */
export const stopMarginMs = 900;
const pollMs = 20;

/** Resolves when the callers have gone and all requests have their answers, or shortly before the kill. */
export const awaitDrained = async (dependencies: DrainDependencies): Promise<void> => {
    const startMs = dependencies.readNowMs();
    const isOver = (): boolean => {
        const nowMs = dependencies.readNowMs();
        if (nowMs - startMs > dependencies.graceMs - stopMarginMs) {
            return true;
        }
        const isQuiet = nowMs - dependencies.readLastEntryMs() > quietMs;
        return dependencies.readPending() === 0 && isQuiet && nowMs - startMs > dependencies.leaveAfterMs;
    };
    while (!isOver()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};
