/** Exponentially weighted moving averages of a duration and its deviation. */
export interface DurationEstimate {
    readonly meanMs: number;
    /** Moving average of the absolute deviation from the mean, in milliseconds. */
    readonly deviationMs: number;
    /** Number of samples. */
    readonly count: number;
}

/** Weights of a new sample in the mean and the deviation, as in the retransmission timer of TCP (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Number of deviations above the mean after which a request is hedged. Answers that are merely slow arrive earlier. */
const hedgeDeviations = 6;
/** Minimum delay of a hedge, in milliseconds; an earlier one would add more load than the time it saves is worth. */
const minHedgeDelayMs = 100;
/** Minimum number of samples before an estimate is used. */
const minSamples = 10;

/** Returns an estimate with one more sample, in milliseconds; starts a new estimate if there is none. */
export const updateDurationEstimate = (
    estimate: DurationEstimate | undefined,
    durationMs: number,
): DurationEstimate => {
    if (!estimate) {
        return { meanMs: durationMs, deviationMs: durationMs / 2, count: 1 };
    }
    const distanceMs = Math.abs(durationMs - estimate.meanMs);
    return {
        meanMs: estimate.meanMs + meanWeight * (durationMs - estimate.meanMs),
        deviationMs: estimate.deviationMs + deviationWeight * (distanceMs - estimate.deviationMs),
        count: estimate.count + 1,
    };
};

/**
 * Computes the time after which an idempotent request is hedged, in milliseconds. Returns undefined while there are too
 * few samples. The delay is needed because a lost answer can be recognized only by its lateness.
 */
export const computeHedgeDelay = ({ meanMs, deviationMs, count }: DurationEstimate): number | undefined =>
    count < minSamples ? undefined : Math.max(minHedgeDelayMs, meanMs + hedgeDeviations * deviationMs);
