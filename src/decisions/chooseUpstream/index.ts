/** An upstream that may receive a request, as known to the node that sends it. */
export interface UpstreamCandidate {
    readonly id: string;
    /** Whether the upstream is in the failure domain of the node that sends the request. */
    readonly isLocalDomain: boolean;
    /** Requests that hold a slot or wait for one: the last reported number, adjusted for requests sent since then. */
    readonly pendingRequests: number;
    /** Concurrency limit, in requests; 0 when unknown. */
    readonly limit: number;
    /** Mean service time, in milliseconds; 0 when unknown. */
    readonly meanServiceMs: number;
    /** Age of the last report, in milliseconds. */
    readonly reportAgeMs: number;
    /** Whether recent attempts to reach the upstream failed. */
    readonly isOutlier: boolean;
}

/** Conditions of the choice for one request. */
export interface UpstreamChoiceOptions {
    /** Time that another failure domain must be expected to save before a request is sent there, in milliseconds. */
    readonly domainPenaltyMs: number;
    /** Whether the request may be sent to an upstream just because its last report is old. */
    readonly mayExplore: boolean;
    /** Random numbers in [0, 1): the first decides whether to explore, the second which upstream. */
    readonly randoms: readonly [number, number];
}

/** Service time assumed while no candidate has reported one, in milliseconds. */
const defaultServiceMs = 100;
/** Age up to which a report keeps its full weight, in milliseconds. */
const freshReportMs = 1_000;
/** Time constant of the exponential decay of an older report's weight, in milliseconds. */
const reportDecayMs = 2_000;
/** Minimum age of the last report for an upstream to be explored, in milliseconds. */
const exploreAfterMs = 1_000;
/** Probability that a request which may explore does so, if there is an upstream to explore. */
const exploreProbability = 0.1;

const computeFallbackServiceMs = (candidates: readonly UpstreamCandidate[]): number => {
    const known = candidates.filter(({ meanServiceMs }) => meanServiceMs > 0);
    return known.length === 0
        ? defaultServiceMs
        : known.reduce((sum, { meanServiceMs }) => sum + meanServiceMs, 0) / known.length;
};

/**
 * Computes the expected time until an upstream answers, in milliseconds. As its last report ages, the service time
 * shifts from the reported value to `fallbackServiceMs`.
 */
export const computeExpectedMs = (candidate: UpstreamCandidate, fallbackServiceMs: number): number => {
    const { meanServiceMs, reportAgeMs, pendingRequests, limit } = candidate;
    const weight = meanServiceMs === 0 ? 0 : Math.exp(-Math.max(0, reportAgeMs - freshReportMs) / reportDecayMs);
    const serviceMs = weight * meanServiceMs + (1 - weight) * fallbackServiceMs;
    const slots = limit > 0 ? limit : 1;
    const queuedCount = Math.max(0, pendingRequests + 1 - slots);
    return serviceMs * (1 + queuedCount / slots);
};

/**
 * Chooses the upstream that is expected to answer first. Returns undefined if there are no candidates. An upstream in
 * another failure domain must be faster by `domainPenaltyMs`, so that traffic stays within a domain as long as that
 * costs callers little time. Outliers are used only if there is no other upstream. Some requests explore: they go to an
 * upstream in the local domain whose last report is old.
 */
export const chooseUpstream = (
    candidates: readonly UpstreamCandidate[],
    options: UpstreamChoiceOptions,
): UpstreamCandidate | undefined => {
    const available = candidates.filter(({ isOutlier }) => !isOutlier);
    const pool = available.length > 0 ? available : candidates;
    const stale = options.mayExplore && options.randoms[0] < exploreProbability
        ? pool.filter(({ reportAgeMs, isLocalDomain }) => isLocalDomain && reportAgeMs > exploreAfterMs)
        : [];
    if (stale.length > 0) {
        return stale[Math.floor(options.randoms[1] * stale.length)];
    }
    const fallbackServiceMs = computeFallbackServiceMs(pool);
    let best: UpstreamCandidate | undefined;
    let bestMs = Infinity;
    pool.forEach(candidate => {
        const penaltyMs = candidate.isLocalDomain ? 0 : options.domainPenaltyMs;
        const expectedMs = computeExpectedMs(candidate, fallbackServiceMs) + penaltyMs;
        if (expectedMs < bestMs) {
            best = candidate;
            bestMs = expectedMs;
        }
    });
    return best;
};
