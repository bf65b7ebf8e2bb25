/** What a node knows of an instance that may take a call. */
export interface InstanceCandidate {
    readonly endpoint: string;
    readonly failureDomain: string;
    /** Calls that this node has under way there. */
    readonly outstanding: number;
    /** Share of its limit that the instance last reported as used, 0 to 1. */
    readonly load: number;
    readonly leaving: boolean;
    /** Whether connections to it were refused lately. */
    readonly isOutlier: boolean;
}

/** Where the choice is made from, and what it leaves out. */
export interface InstanceChoiceOptions {
    readonly failureDomain: string;
    /** Endpoints that this call has tried. */
    readonly tried: readonly string[];
    /** Two numbers in [0, 1) that pick the pair of candidates to compare. */
    readonly randoms: readonly [number, number];
}

const fullLoad = 1;

const isUsable = (candidate: InstanceCandidate, tried: readonly string[]): boolean =>
    !candidate.leaving && !tried.includes(candidate.endpoint);

const hasRoom = (candidate: InstanceCandidate): boolean => !candidate.isOutlier && candidate.load < fullLoad;

/** Returns the less loaded one of two candidates picked at random. */
const choosePair = (
    candidates: readonly InstanceCandidate[],
    randoms: readonly [number, number],
): InstanceCandidate | undefined => {
    const first = candidates[Math.floor(randoms[0] * candidates.length)];
    const second = candidates[Math.floor(randoms[1] * candidates.length)];
    if (!first || !second) {
        return first;
    }
    const firstCost = (first.outstanding + 1) * (1 + first.load);
    const secondCost = (second.outstanding + 1) * (1 + second.load);
    return firstCost <= secondCost ? first : second;
};

/**
 * Chooses the instance for a call: its own failure domain first, another one only with room there.
 * When no instance has room, one that is not leaving is still chosen, so that the call gets its answer from there.
 */
export const chooseInstance = (
    candidates: readonly InstanceCandidate[],
    options: InstanceChoiceOptions,
): InstanceCandidate | undefined => {
    const usable = candidates.filter(candidate => isUsable(candidate, options.tried));
    const roomy = usable.filter(hasRoom);
    const near = roomy.filter(candidate => candidate.failureDomain === options.failureDomain);
    const nearAtAll = usable.filter(candidate =>
        candidate.failureDomain === options.failureDomain && !candidate.isOutlier
    );
    const pools = [near, roomy, nearAtAll, usable];
    const pool = pools.find(list => list.length > 0);
    return pool && choosePair(pool, options.randoms);
};

/** Counts the instances with room that a call has not tried. */
export const countWithCapacity = (candidates: readonly InstanceCandidate[], tried: readonly string[]): number =>
    candidates.filter(candidate => isUsable(candidate, tried) && hasRoom(candidate)).length;
