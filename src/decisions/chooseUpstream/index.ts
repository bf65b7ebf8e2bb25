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
    /** Share of recent requests that the upstream rejected, failed or left without an answer, 0 to 1. */
    readonly failureRate: number;
    /** Whether recent attempts to reach the upstream failed. */
    readonly isOutlier: boolean;
}

/** Conditions of the choice for one request. */
export interface UpstreamChoiceOptions {
    /** Time that another failure domain must be expected to save before a request is sent there, in milliseconds. */
    readonly domainPenaltyMs: number;
    /** Time that a failed attempt is expected to cost, in milliseconds. */
    readonly failurePenaltyMs: number;
    /** Returns a random number in [0, 1); breaks ties, so that nodes that know nothing don't choose the same upstream. */
    readonly sampleRandom: () => number;
}

/** Service time assumed while no candidate has reported one, in milliseconds. */
const defaultServiceMs = 100;
/** Age up to which a reported queue keeps its full weight, and time constant of its decay, in milliseconds. */
const freshQueueMs = 1_000;
const queueDecayMs = 2_000;
/** The same for a reported service time, which changes more slowly than a queue. */
const freshServiceMs = 3_000;
const serviceDecayMs = 5_000;

const computeWeight = (ageMs: number, freshMs: number, decayMs: number): number =>
    Math.exp(-Math.max(0, ageMs - freshMs) / decayMs);

const computeFallbackServiceMs = (candidates: readonly UpstreamCandidate[]): number => {
    const known = candidates.filter(({ meanServiceMs }) => meanServiceMs > 0);
    return known.length === 0
        ? defaultServiceMs
        : known.reduce((sum, { meanServiceMs }) => sum + meanServiceMs, 0) / known.length;
};

/**
 * Computes the expected time until an upstream answers, in milliseconds. As its last report ages, the service time
 * shifts from the reported value to `fallbackServiceMs`, and the queue to an empty one.
 */
export const computeExpectedMs = (candidate: UpstreamCandidate, fallbackServiceMs: number): number => {
    const { meanServiceMs, reportAgeMs, pendingRequests, limit } = candidate;
    const serviceWeight = meanServiceMs === 0 ? 0 : computeWeight(reportAgeMs, freshServiceMs, serviceDecayMs);
    const serviceMs = serviceWeight * meanServiceMs + (1 - serviceWeight) * fallbackServiceMs;
    const slots = limit > 0 ? limit : 1;
    const queueWeight = Number.isFinite(reportAgeMs) ? computeWeight(reportAgeMs, freshQueueMs, queueDecayMs) : 1;
    const queuedCount = queueWeight * Math.max(0, pendingRequests + 1 - slots);
    return serviceMs * (1 + queuedCount / slots);
};

/**
 * Chooses the upstream that is expected to answer first. Returns undefined if there are no candidates. An upstream in
 * another failure domain must be faster by `domainPenaltyMs`, so that traffic stays within a domain as long as that
 * costs callers little time. One that fails part of its requests is expected to cost `failurePenaltyMs` in proportion:
 * an upstream that rejects requests at once looks idle otherwise. Outliers are used only if there is no other upstream.
 */
export const chooseUpstream = (
    candidates: readonly UpstreamCandidate[],
    { domainPenaltyMs, failurePenaltyMs, sampleRandom }: UpstreamChoiceOptions,
): UpstreamCandidate | undefined => {
    const available = candidates.filter(({ isOutlier }) => !isOutlier);
    const pool = available.length > 0 ? available : candidates;
    const fallbackServiceMs = computeFallbackServiceMs(pool);
    let best: UpstreamCandidate | undefined;
    let bestMs = Infinity;
    let tieCount = 0;
    pool.forEach(candidate => {
        const expectedMs = computeExpectedMs(candidate, fallbackServiceMs)
            + (candidate.isLocalDomain ? 0 : domainPenaltyMs)
            + candidate.failureRate * failurePenaltyMs;
        tieCount = expectedMs === bestMs ? tieCount + 1 : 1;
        if (expectedMs < bestMs || expectedMs === bestMs && sampleRandom() * tieCount < 1) {
            best = candidate;
        }
        bestMs = Math.min(bestMs, expectedMs);
    });
    return best;
};
