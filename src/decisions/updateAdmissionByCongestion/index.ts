/** Congestion reported by the answers to requests of one route since the last update. */
export interface CongestionStats {
    /** Number of answers. */
    readonly answers: number;
    /** Sum of the reported congestion values, each 0 to 1. */
    readonly congestionSum: number;
    /** Number of windows of 100 ms that the update covers; may be fractional. */
    readonly windows: number;
}

/** Relative decrease of the probability in a window in which the route is shed at full strength. */
const maxDecrease = 0.1;
/** Increase of the probability in a window without shedding: 15 windows, or 1.5 s, from the minimum to 1. */
const increaseStep = 0.06;
/** Minimum probability; some requests of each route are always admitted, since their answers show free capacity. */
const minProbability = 0.1;
/** Congestion above which routes of rank 0 are shed. All other routes are shed at full strength from this value on. */
const topRankOnset = 0.5;

/**
 * Computes how strongly a route is shed, from 0 (not at all) to 1. Less important routes are shed at any congestion;
 * routes of rank 0 are shed only if congestion still grows while the others are already shed at full strength.
 */
export const computeSheddingStrength = (congestion: number, rank: number): number =>
    rank === 0
        ? Math.max(0, (congestion - topRankOnset) / (1 - topRankOnset))
        : Math.min(1, congestion / topRankOnset);

/**
 * Computes the new admission probability of a route's requests from the congestion that answers reported. The
 * probability falls as congestion grows at services deeper in the call graph, before these have to refuse nested
 * requests.
 */
export const updateAdmissionByCongestion = (probability: number, stats: CongestionStats, rank: number): number => {
    const congestion = stats.answers === 0 ? 0 : stats.congestionSum / stats.answers;
    const strength = computeSheddingStrength(congestion, rank);
    const next = strength > 0
        ? probability * (1 - maxDecrease * strength) ** stats.windows
        : probability + increaseStep * stats.windows;
    return Math.min(1, Math.max(minProbability, next));
};
