/** A nested call that may be retried. */
export interface NestedRetryCandidate {
    /** Rank of the caller's request at the root of the call graph; 0 is the most important. */
    readonly rank: number;
    /** Number of other nested calls of the same parent that have succeeded. */
    readonly succeededSiblings: number;
}

/** Number of succeeded siblings from which on further ones add no value. */
const maxCountedSiblings = 3;
/** Number of values that `computeRetryValue` returns. */
export const retryValueCount = 2 * (maxCountedSiblings + 1);

/** Share of a retry budget that nested calls leave to direct requests, which are far fewer. */
const directReserveShare = 0.3;
/** Further share that the least valuable retries leave to all others. */
const valueReserveShare = 0.6;

/**
 * Computes the value of a retry, an integer from 0. It is worth more for an important request, and the more of its
 * other nested calls have succeeded: less is missing for the parent to complete, and more work would be lost.
 */
export const computeRetryValue = ({ rank, succeededSiblings }: NestedRetryCandidate): number =>
    (rank === 0 ? maxCountedSiblings + 1 : 0) + Math.min(maxCountedSiblings, succeededSiblings);

/**
 * Computes the share of a retry budget that a nested call must leave to others, 0 to 1. It grows with the share of the
 * recent nested calls that had a higher value; `valueShares` are their shares by value.
 */
export const computeRetryReserve = (value: number, valueShares: readonly number[]): number => {
    const higherShare = valueShares.slice(value + 1).reduce((sum, share) => sum + share, 0);
    return directReserveShare + valueReserveShare * higherShare;
};
