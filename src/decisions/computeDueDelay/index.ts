/** What the place of a request in the queue for slots follows from. */
export interface DueDelayInput {
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Rank of the request of the caller that all of this is done for; 0 is the most important. */
    readonly rank: number;
    readonly targetLatencyMs: number;
}

/** Nested requests go before new ones of the same rank: their parents' work is wasted if they come too late. */
const nestedShare = 0.5;
/** Target latencies by which each rank comes later; among few requests of callers, rank frees hardly any room. */
const rankStep = 2;
const fewRankStep = 0.5;
/** Share of the slot time up to which requests of callers are few enough to go first. */
const fewDirectShare = 0.25;

/**
 * Computes how much later than now a request is due, in milliseconds; the queue grants slots in the order of due times.
 * Requests of callers at an upstream that mostly serves nested ones would starve behind them; being few, they go first.
 */
export const computeDueDelay = ({ nested, rank, targetLatencyMs }: DueDelayInput, directShare: number): number => {
    if (!nested && directShare < fewDirectShare) {
        return directShare / fewDirectShare * targetLatencyMs * (1 + fewRankStep * rank);
    }
    return (nested ? nestedShare : 1) * targetLatencyMs * (1 + rankStep * rank);
};
