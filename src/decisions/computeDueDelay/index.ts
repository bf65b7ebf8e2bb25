/** Properties of a request that determine its due time. */
export interface DueDelayInput {
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Rank of the direct request at the root of the call graph; 0 is the most important. */
    readonly rank: number;
    readonly targetLatencyMs: number;
}

/**
 * Factor on the delay of nested requests. They usually precede direct ones, since a late one wastes the work of its
 * parents.
 */
const nestedFactor = 0.5;
/** Growth of the delay with each rank, as a multiple of the delay for rank 0. */
const rankFactor = 2;
/**
 * Used instead of `rankFactor` for direct requests where they are few. It is smaller, since delaying them frees little
 * capacity.
 */
const fewDirectRankFactor = 0.2;
/** Direct requests count as few if they use less than this share of the slot time. */
const fewDirectShare = 0.25;

/**
 * Computes how much later than now a request is due, in milliseconds. The queue grants slots in the order of due times.
 * Direct requests would starve behind the nested ones at an upstream where they are few, so they are due earlier there.
 * `directShare` is the share of the upstream's slot time that direct requests use, 0 to 1.
 */
export const computeDueDelay = ({ nested, rank, targetLatencyMs }: DueDelayInput, directShare: number): number => {
    if (!nested && directShare < fewDirectShare) {
        return directShare / fewDirectShare * targetLatencyMs * (1 + fewDirectRankFactor * rank);
    }
    return (nested ? nestedFactor : 1) * targetLatencyMs * (1 + rankFactor * rank);
};
