/** What a node knows of an upstream to which a request may be sent. */
export interface UpstreamCandidate {
    readonly id: string;
    readonly isLocalDomain: boolean;
    /** Requests that hold a slot or wait for one: the last report, corrected by the requests sent since. */
    readonly occupied: number;
    /** Concurrency limit, in requests; 0 when unknown. */
    readonly limit: number;
    /** Mean service time, in milliseconds; 0 when unknown. */
    readonly meanServiceMs: number;
    /** Age of the last report, in milliseconds. */
    readonly reportAgeMs: number;
    /** Whether recent attempts to reach the upstream failed. */
    readonly isOutlier: boolean;
}

/** Options of the choice of an upstream. */
export interface UpstreamChoiceOptions {
    /** Expected time that a request must gain to be sent to another failure domain, in milliseconds. */
    readonly domainPenaltyMs: number;
    /** Whether the request may explore an upstream that has not reported recently. */
    readonly mayExplore: boolean;
    /** Two random numbers in [0, 1). */
    readonly randoms: readonly [number, number];
}

/** Service time assumed while no upstream of the service has reported. */
const defaultServiceMs = 100;
/** Age up to which a report keeps its full weight. */
const freshReportMs = 1_000;
/** Time constant of the exponential decay of the weight of older reports. */
const reportDecayMs = 2_000;
/** Age of the last report above which an upstream may be explored. */
const exploreAfterMs = 1_000;
/** Probability that a request explores, while there is an upstream to explore. */
const exploreProbability = 0.1;

const computeFallbackServiceMs = (candidates: readonly UpstreamCandidate[]): number => {
    const known = candidates.filter(({ meanServiceMs }) => meanServiceMs > 0);
    return known.length === 0
        ? defaultServiceMs
        : known.reduce((sum, { meanServiceMs }) => sum + meanServiceMs, 0) / known.length;
};

/**
 * Computes the time in which an upstream is expected to answer, in milliseconds. As its report ages,
 * `fallbackServiceMs` replaces the reported service time.
 */
export const computeExpectedMs = (candidate: UpstreamCandidate, fallbackServiceMs: number): number => {
    const { meanServiceMs, reportAgeMs, occupied, limit } = candidate;
    const weight = meanServiceMs === 0 ? 0 : Math.exp(-Math.max(0, reportAgeMs - freshReportMs) / reportDecayMs);
    const serviceMs = weight * meanServiceMs + (1 - weight) * fallbackServiceMs;
    const slots = limit > 0 ? limit : 1;
    const waiting = Math.max(0, occupied + 1 - slots);
    return serviceMs * (1 + waiting / slots);
};

/**
 * Chooses the upstream that is expected to answer first. An upstream of another failure domain must be faster by a
 * margin, so that traffic stays within a domain while callers lose little by it. Outliers are used only if there is no
 * other upstream.
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
