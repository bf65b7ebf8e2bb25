/** What a node knows of an instance to which a call may be forwarded. */
export interface InstanceCandidate {
    readonly endpoint: string;
    readonly failureDomain: string;
    /** Calls from this node that the instance has not answered yet. */
    readonly outstandingCalls: number;
    /** Share of its concurrency limit that the instance last reported as used, 0 to 1. */
    readonly load: number;
    readonly leaving: boolean;
    /** Whether a connection to the instance failed recently. */
    readonly isOutlier: boolean;
}

/** Options of the choice of an instance. */
export interface InstanceChoiceOptions {
    /** Failure domain of the node that forwards the call. */
    readonly failureDomain: string;
    /** Endpoints that this call has tried. */
    readonly triedEndpoints: readonly string[];
    /** Two random numbers in [0, 1) that select the two candidates to compare. */
    readonly randoms: readonly [number, number];
}

const fullLoad = 1;

const isEligible = (candidate: InstanceCandidate, tried: readonly string[]): boolean =>
    !candidate.leaving && !tried.includes(candidate.endpoint);

const hasCapacity = (candidate: InstanceCandidate): boolean => !candidate.isOutlier && candidate.load < fullLoad;

/** Returns the less loaded of two randomly selected candidates ("power of two choices"). */
const chooseLessLoaded = (
    candidates: readonly InstanceCandidate[],
    randoms: readonly [number, number],
): InstanceCandidate | undefined => {
    const first = candidates[Math.floor(randoms[0] * candidates.length)];
    const second = candidates[Math.floor(randoms[1] * candidates.length)];
    if (!first || !second) {
        return first;
    }
    const firstCost = (first.outstandingCalls + 1) * (1 + first.load);
    const secondCost = (second.outstandingCalls + 1) * (1 + second.load);
    return firstCost <= secondCost ? first : second;
};

/**
 * Chooses the instance for a call. Instances of the own failure domain come first; those of another domain are used
 * only if they have free capacity. If no instance has free capacity, an instance without it is still chosen, so that
 * the caller gets an answer from there; instances that are leaving are never chosen.
 */
export const chooseInstance = (
    candidates: readonly InstanceCandidate[],
    options: InstanceChoiceOptions,
): InstanceCandidate | undefined => {
    const eligible = candidates.filter(candidate => isEligible(candidate, options.triedEndpoints));
    const available = eligible.filter(hasCapacity);
    const availableLocal = available.filter(candidate => candidate.failureDomain === options.failureDomain);
    const reachableLocal = eligible.filter(candidate =>
        candidate.failureDomain === options.failureDomain && !candidate.isOutlier
    );
    const pools = [availableLocal, available, reachableLocal, eligible];
    const pool = pools.find(list => list.length > 0);
    return pool && chooseLessLoaded(pool, options.randoms);
};

/** Counts the instances with free capacity that a call has not tried. */
export const countAvailableInstances = (candidates: readonly InstanceCandidate[], tried: readonly string[]): number =>
    candidates.filter(candidate => isEligible(candidate, tried) && hasCapacity(candidate)).length;
