/** Input of `computeDueDelay`. */
export interface DueDelayInput {
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Rank of the direct request at the root of the call graph; 0 is the most important. */
    readonly rank: number;
    readonly targetLatencyMs: number;
}

/** Factor for nested requests, which precede direct ones of the same rank: a late one wastes its parents' work. */
const nestedFactor = 0.5;
/** Growth of the delay with each rank, as a multiple of the target latency. */
const rankFactor = 2;
/** Growth with each rank for direct requests where these are few: delaying them frees hardly any capacity. */
const fewDirectRankFactor = 0.5;
/** Share of the slot time below which direct requests are few. */
const fewDirectShare = 0.25;

/**
 * Computes how much later than now a request is due, in milliseconds; the queue grants slots in the order of due times.
 * At an upstream that mostly serves nested requests, direct ones would starve behind them; being few, they are due
 * earlier. `directShare` is the share of the upstream's slot time that direct requests use, 0 to 1.
 */
export const computeDueDelay = ({ nested, rank, targetLatencyMs }: DueDelayInput, directShare: number): number => {
    if (!nested && directShare < fewDirectShare) {
        return directShare / fewDirectShare * targetLatencyMs * (1 + fewDirectRankFactor * rank);
    }
    return (nested ? nestedFactor : 1) * targetLatencyMs * (1 + rankFactor * rank);
};
