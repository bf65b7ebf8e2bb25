/** What the answers to the requests of one route said in a window. */
export interface CongestionStats {
    readonly answers: number;
    /** Sum of the congestion that the answers reported, each 0 to 1. */
    readonly congestionSum: number;
    /** Length of the span from which they come, in windows of 100 ms. */
    readonly windows: number;
}

/** Share of the way to zero that a window of full congestion takes. */
const decrease = 0.1;
/** Growth of the share in a window without congestion: from the smallest share to all within two seconds. */
const increase = 0.06;
/** No route is shut out: what is let in shows when there is room again. */
const smallestShare = 0.1;
/** Congestion up to which only less important routes give way. */
const importantFrom = 0.5;

/**
 * Computes how strongly a route has to give way. Less important routes answer to the first signs of congestion; the
 * most important ones only when the others have given way and congestion still grows.
 */
export const computeSheddingStrength = (congestion: number, rank: number): number =>
    rank === 0
        ? Math.max(0, (congestion - importantFrom) / (1 - importantFrom))
        : Math.min(1, congestion / importantFrom);

/**
 * Updates the share of a route's new requests that the entry lets in, once a window. What the congested service deep
 * inside reports on answers makes the share shrink in proportion, before anything has to be refused there.
 */
export const updateAdmissionByCongestion = (share: number, readings: CongestionStats, rank: number): number => {
    const congestion = readings.answers === 0 ? 0 : readings.congestionSum / readings.answers;
    const giveWay = computeSheddingStrength(congestion, rank);
    const next = giveWay > 0
        ? share * (1 - decrease * giveWay) ** readings.windows
        : share + increase * readings.windows;
    return Math.min(1, Math.max(smallestShare, next));
};
