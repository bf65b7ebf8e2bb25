const minRetryAfterMs = 250;
const maxRetryAfterMs = 2_000;

/**
 * Computes the time after which a refused caller should retry, in milliseconds. It grows as the admission probability
 * falls. Jitter spreads the callers, so that they don't all retry at once; `random` lies in [0, 1). Half of the target
 * latency bounds the time before jitter, since a later answer would be of less use.
 */
export const computeRetryAfterMs = (admissionProbability: number, targetLatencyMs: number, random: number): number => {
    const longestMs = Math.max(minRetryAfterMs, Math.min(maxRetryAfterMs, targetLatencyMs / 2));
    const meanMs = minRetryAfterMs + (1 - admissionProbability) * (longestMs - minRetryAfterMs);
    return Math.round(meanMs * (0.5 + random));
};
