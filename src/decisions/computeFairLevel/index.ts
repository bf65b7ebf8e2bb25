/**
 * Computes the level up to which all senders are admitted alike, so that a share of all requests is admitted. A sender that has
 * sent `demand` requests lately is admitted with the probability `computeFairProbability(level, demand)`: those below the level
 * completely, the others the less the more they send. Returns Infinity if the share is 1 or there are no senders.
 */
export const computeFairLevel = (demands: readonly number[], share: number): number => {
    const sorted = demands.filter(demand => demand > 0).sort((first, second) => first - second);
    const total = sorted.reduce((sum, demand) => sum + demand, 0);
    if (share >= 1 || total === 0) {
        return Infinity;
    }
    let admitted = 0;
    let restWeight = sorted.reduce((sum, demand) => sum + demand / (demand + 1), 0);
    for (const demand of sorted) {
        const level = (share * total - admitted) / restWeight;
        if (level <= demand + 1) {
            return level;
        }
        admitted += demand;
        restWeight -= demand / (demand + 1);
    }
    return Infinity;
};

/** Computes the probability with which a request is admitted whose sender has sent `demand` other ones lately, 0 to 1. */
export const computeFairProbability = (level: number, demand: number): number => Math.min(1, level / (demand + 1));
