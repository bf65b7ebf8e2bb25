/** Exponentially weighted moving estimate of a duration. */
export interface DurationEstimate {
    readonly meanMs: number;
    /** Moving mean of the absolute deviation from the mean, in milliseconds. */
    readonly deviationMs: number;
    /** Number of samples. */
    readonly count: number;
}

/** Weights of one sample, as in the retransmission timer of TCP (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Deviations above the mean after which a request is hedged; answers that are merely slow arrive earlier. */
const hedgeDeviations = 6;
/** An earlier hedge would cost more than it saves. */
const minHedgeDelayMs = 100;
/** Samples before an estimate is used. */
const minSamples = 10;

/** Adds one sample, in milliseconds, to an estimate; without an estimate, starts one. */
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
 * Computes the time after which an idempotent request is hedged, in milliseconds; undefined while there are too few
 * samples. A lost answer can be detected only by its lateness.
 */
export const computeHedgeDelay = ({ meanMs, deviationMs, count }: DurationEstimate): number | undefined =>
    count < minSamples ? undefined : Math.max(minHedgeDelayMs, meanMs + hedgeDeviations * deviationMs);
