/** Shortest and longest time after which a refused caller is asked to return, in milliseconds. */
const shortestReturnMs = 250;
const longestReturnMs = 2_000;

/**
 * Computes when a refused caller should return, in milliseconds. The less is let in, the later; the random part spreads
 * the callers, so that they don't return all at once. The target latency bounds the delay: later it would be of less use.
 */
export const computeRetryAfterMs = (admittedShare: number, targetLatencyMs: number, random: number): number => {
    const latestMs = Math.max(shortestReturnMs, Math.min(longestReturnMs, targetLatencyMs / 2));
    const middleMs = shortestReturnMs + (1 - admittedShare) * (latestMs - shortestReturnMs);
    return Math.round(middleMs * (0.5 + random));
};
