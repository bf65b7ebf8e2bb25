/** What is known of one upstream when a request is to be sent. */
export interface UpstreamCandidate {
    readonly id: string;
    readonly isLocalDomain: boolean;
    /** Requests that hold a slot or wait for one, as reported and corrected by what has been sent since. */
    readonly occupied: number;
    /** Requests that its node runs at once, 0 when not known. */
    readonly limit: number;
    /** Mean time that a request holds a slot, in milliseconds; 0 when not known. */
    readonly meanServiceMs: number;
    /** Age of the report that these figures come from, in milliseconds. */
    readonly reportAgeMs: number;
    /** Recent attempts to reach it have failed. */
    readonly isOutlier: boolean;
}

/** Circumstances of a choice. */
export interface UpstreamChoiceOptions {
    /** Expected delay for which a request goes to another failure domain, in milliseconds. */
    readonly domainPenaltyMs: number;
    /** Whether the request may be used to learn about an upstream of which nothing has been heard lately. */
    readonly mayExplore: boolean;
    /** Two random numbers in [0, 1). */
    readonly randoms: readonly [number, number];
}

/** Assumed when no upstream of the service has reported yet, in milliseconds. */
const unknownMeanMs = 100;
/** Age at which a report begins to lose its weight, and the time in which it loses most of it, in milliseconds. */
const freshReportMs = 1_000;
const reportDecayMs = 2_000;
/** Without a report for this long, an upstream may be explored, in milliseconds. */
const exploreAfterMs = 1_000;
/** Share of the requests that explore while there is something to explore. */
const exploreShare = 0.1;

const computeServiceMeanMs = (candidates: readonly UpstreamCandidate[]): number => {
    const known = candidates.filter(({ meanServiceMs: meanMs }) => meanMs > 0);
    return known.length === 0
        ? unknownMeanMs
        : known.reduce((sum, { meanServiceMs: meanMs }) => sum + meanMs, 0) / known.length;
};

/** Computes the time in which an upstream is expected to answer, in milliseconds. */
export const computeExpectedMs = (candidate: UpstreamCandidate, serviceMeanMs: number): number => {
    const { meanServiceMs: meanMs, reportAgeMs, occupied, limit } = candidate;
    const weight = meanMs === 0 ? 0 : Math.exp(-Math.max(0, reportAgeMs - freshReportMs) / reportDecayMs);
    const slotMs = weight * meanMs + (1 - weight) * serviceMeanMs;
    const size = limit > 0 ? limit : 1;
    const waiting = Math.max(0, occupied + 1 - size);
    return slotMs * (1 + waiting / size);
};

/**
 * Chooses the upstream that is expected to answer first. Another failure domain has to be better by a margin, so that
 * traffic stays within a domain while that serves callers as well. Suspected upstreams are left out while others exist.
 */
export const chooseUpstream = (
    candidates: readonly UpstreamCandidate[],
    context: UpstreamChoiceOptions,
): UpstreamCandidate | undefined => {
    const sound = candidates.filter(({ isOutlier }) => !isOutlier);
    const pool = sound.length > 0 ? sound : candidates;
    const stale = context.mayExplore && context.randoms[0] < exploreShare
        ? pool.filter(({ reportAgeMs, isLocalDomain }) => isLocalDomain && reportAgeMs > exploreAfterMs)
        : [];
    if (stale.length > 0) {
        return stale[Math.floor(context.randoms[1] * stale.length)];
    }
    const serviceMeanMs = computeServiceMeanMs(pool);
    let best: UpstreamCandidate | undefined;
    let bestMs = Infinity;
    pool.forEach(candidate => {
        const penaltyMs = candidate.isLocalDomain ? 0 : context.domainPenaltyMs;
        const expectedMs = computeExpectedMs(candidate, serviceMeanMs) + penaltyMs;
        if (expectedMs < bestMs) {
            best = candidate;
            bestMs = expectedMs;
        }
    });
    return best;
};
