const minRetryAfterMs = 250;
const maxRetryAfterMs = 2_000;

/**
 * Computes the time after which a refused caller should retry, in milliseconds. The time grows as the admission
 * probability falls. Before jitter, it is at least `minRetryAfterMs` and otherwise at most half of the target latency,
 * since a later answer would be of less use. Jitter of up to 50% in either direction spreads the callers, so that they
 * don't all retry at once; `random` is in [0, 1).
 */
export const computeRetryAfterMs = (admissionProbability: number, targetLatencyMs: number, random: number): number => {
    const longestMs = Math.max(minRetryAfterMs, Math.min(maxRetryAfterMs, targetLatencyMs / 2));
    const meanMs = minRetryAfterMs + (1 - admissionProbability) * (longestMs - minRetryAfterMs);
    return Math.round(meanMs * (0.5 + random));
};
