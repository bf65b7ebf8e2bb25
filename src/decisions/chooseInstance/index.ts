/** An instance that may receive a call, as known to the node that forwards the call. */
export interface InstanceCandidate {
    readonly endpoint: string;
    readonly failureDomain: string;
    /** Number of calls from this node that the instance has not answered yet. */
    readonly outstandingCalls: number;
    /** Load that the instance last reported, 0 to 1; at 1 it has no free capacity. */
    readonly load: number;
    /** Whether the instance is shutting down. */
    readonly leaving: boolean;
    /** Whether a connection to the instance failed recently. */
    readonly isOutlier: boolean;
}

/** Conditions of the choice for one call. */
export interface InstanceChoiceOptions {
    /** Failure domain of the node that forwards the call. */
    readonly failureDomain: string;
    /** Endpoints that this call has tried. */
    readonly triedEndpoints: readonly string[];
    /** Random numbers in [0, 1) that select the two candidates to compare. */
    readonly randoms: readonly [number, number];
}

const fullLoad = 1;

const isEligible = (candidate: InstanceCandidate, triedEndpoints: readonly string[]): boolean =>
    !candidate.leaving && !triedEndpoints.includes(candidate.endpoint);

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
 * Chooses the instance for a call. Instances with free capacity come first: those in the node's failure domain, then
 * those in others. If no instance has free capacity, one without it is still chosen, so that the caller gets an answer
 * from there: a reachable one in the node's domain if possible, any other otherwise. Instances that are leaving or were
 * tried are never chosen. Returns undefined if there are no others.
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
export const countAvailableInstances = (
    candidates: readonly InstanceCandidate[],
    triedEndpoints: readonly string[],
): number => candidates.filter(candidate => isEligible(candidate, triedEndpoints) && hasCapacity(candidate)).length;
