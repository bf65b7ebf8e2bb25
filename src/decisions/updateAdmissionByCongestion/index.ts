/** Congestion that the answers to requests of one route reported. */
export interface CongestionStats {
    readonly answers: number;
    /** Sum of the reported congestion values, each 0 to 1. */
    readonly congestionSum: number;
    /** Time in which the answers arrived, in windows of 100 ms; may be fractional. */
    readonly windows: number;
}

/** Relative decrease of the probability in a window of full congestion. */
const maxDecrease = 0.1;
/** Increase of the probability in a window in which the route is not shed: from the minimum to 1 within two seconds. */
const increaseStep = 0.06;
/** Some requests of each route are always admitted, so that free capacity is noticed. */
const minProbability = 0.1;
/** Congestion up to which routes of rank 0 are not shed. */
const topRankOnset = 0.5;

/**
 * Computes how strongly a route is shed, from 0 (not at all) to 1. Less important routes are shed at any congestion,
 * routes of rank 0 only if congestion still grows although the others are shed at full strength.
 */
export const computeSheddingStrength = (congestion: number, rank: number): number =>
    rank === 0
        ? Math.max(0, (congestion - topRankOnset) / (1 - topRankOnset))
        : Math.min(1, congestion / topRankOnset);

/**
 * Updates the admission probability of a route's new requests from the congestion that answers report, once a window.
 * The probability falls in proportion to the congestion of the services deeper in the call graph, before these have to
 * refuse nested requests.
 */
export const updateAdmissionByCongestion = (probability: number, stats: CongestionStats, rank: number): number => {
    const congestion = stats.answers === 0 ? 0 : stats.congestionSum / stats.answers;
    const strength = computeSheddingStrength(congestion, rank);
    const next = strength > 0
        ? probability * (1 - maxDecrease * strength) ** stats.windows
        : probability + increaseStep * stats.windows;
    return Math.min(1, Math.max(minProbability, next));
};
