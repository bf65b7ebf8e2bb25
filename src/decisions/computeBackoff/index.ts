const baseBackoffMs = 10;
const maxBackoffMs = 500;

/** Computes the wait before a retry: exponential with full jitter; `random` lies in [0, 1). */
export const computeBackoff = (attempt: number, random: number): number =>
    Math.min(maxBackoffMs, baseBackoffMs * 2 ** attempt) * random;
