/** Time constant of the means, in milliseconds. */
const meanTimeConstantMs = 250;
/** Mean below which a route counts as uncongested; a mean that decays never reaches 0. */
const negligibleCongestion = 0.03;
/** Time that one sample counts for at least, in milliseconds; samples of busy routes may arrive at the same time. */
const minSampleMs = 20;

interface CongestionMean {
    congestion: number;
    updatedAtMs: number;
}

/**
 * Averages the congestion that the requests of each route and rank have met at one node. An entry with few requests
 * learns more from this mean than from the congestion that its own request has met.
 */
export class CongestionMeans {
    private readonly means = new Map<string, CongestionMean>();

    constructor(private readonly readNowMs: () => number) {}

    /** Records the congestion that one request has met, 0 to 1; returns the mean, or 0 if the mean is negligible. */
    record(route: string, rank: number, congestion: number): number {
        const nowMs = this.readNowMs();
        const key = `${route} ${rank}`;
        const mean = this.means.get(key) ?? { congestion, updatedAtMs: nowMs };
        const sampleMs = Math.max(minSampleMs, nowMs - mean.updatedAtMs);
        mean.congestion += (1 - Math.exp(-sampleMs / meanTimeConstantMs)) * (congestion - mean.congestion);
        mean.updatedAtMs = nowMs;
        this.means.set(key, mean);
        return mean.congestion < negligibleCongestion ? 0 : mean.congestion;
    }
}
