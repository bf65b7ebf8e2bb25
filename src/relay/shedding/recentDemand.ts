/** Recent numbers of requests of each organisation, from which fair shares of the admitted ones follow. */
import { LRUCache } from "lru-cache";
import { computeFairLevel } from "../../decisions/computeFairLevel";

interface Demand {
    readonly count: number;
    readonly updatedAtMs: number;
}

/** Time constant with which past requests are forgotten, in milliseconds. */
const decayMs = 5_000;
/** Number of requests below which an organisation no longer counts. */
const minDemand = 0.05;
/** Maximum number of organisations that are remembered. */
const maxOrganisations = 1_000;

/** Counts requests by organisation; past ones count less and less. */
export class RecentDemand {
    private readonly demands = new LRUCache<string, Demand>({ max: maxOrganisations });

    /** Records a request, and returns the number of earlier recent ones of its organisation. */
    record(organisation: string, nowMs: number): number {
        const demand = this.demands.get(organisation);
        const earlier = demand ? computeDecayed(demand, nowMs) : 0;
        this.demands.set(organisation, { count: earlier + 1, updatedAtMs: nowMs });
        return earlier;
    }

    /** Computes the level of `computeFairLevel` with which a share of all requests is admitted. */
    computeLevel(share: number, nowMs: number): number {
        const counts = [...this.demands.values()].map(demand => computeDecayed(demand, nowMs));
        return computeFairLevel(counts.filter(count => count >= minDemand), share);
    }
}

const computeDecayed = ({ count, updatedAtMs }: Demand, nowMs: number): number =>
    count * Math.exp((updatedAtMs - nowMs) / decayMs);
