/** Moving mean of a duration with its deviation. */
export interface DurationEstimate {
    readonly meanMs: number;
    /** Moving mean of the distance from the mean, in milliseconds. */
    readonly deviationMs: number;
    readonly count: number;
}

/** Weights of one reading, as in the retransmission timer of TCP (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Deviations beyond the mean at which an answer is later than usual; leaves out ordinary slow ones. */
const lateDeviations = 6;
/** A second sending before this time would cost more than it saves, in milliseconds. */
const smallestDelayMs = 100;
/** Readings that are needed before the mean says anything. */
const neededReadings = 10;

/** Adds a reading in milliseconds. */
export const updateDurationEstimate = (mean: DurationEstimate | undefined, durationMs: number): DurationEstimate => {
    if (!mean) {
        return { meanMs: durationMs, deviationMs: durationMs / 2, count: 1 };
    }
    const distanceMs = Math.abs(durationMs - mean.meanMs);
    return {
        meanMs: mean.meanMs + meanWeight * (durationMs - mean.meanMs),
        deviationMs: mean.deviationMs + deviationWeight * (distanceMs - mean.deviationMs),
        count: mean.count + 1,
    };
};

/**
 * Computes the time after which a request that may be repeated is sent to a second upstream, in milliseconds. An answer
 * that is lost on its way shows only by its lateness.
 */
export const computeHedgeDelay = ({ meanMs, deviationMs, count }: DurationEstimate): number | undefined =>
    count < neededReadings ? undefined : Math.max(smallestDelayMs, meanMs + lateDeviations * deviationMs);
