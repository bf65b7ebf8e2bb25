const baseBackoffMs = 10;
const maxBackoffMs = 500;

/**
 * Computes the wait before a retry, in milliseconds: exponential backoff with full jitter. The longest possible wait
 * doubles with each attempt, up to `maxBackoffMs`; `random` is in [0, 1).
 */
export const computeBackoff = (attempt: number, random: number): number =>
    Math.min(maxBackoffMs, baseBackoffMs * 2 ** attempt) * random;
