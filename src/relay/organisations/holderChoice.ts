/** Chooses the node that holds the shares of the quotas. */
import { type UpstreamRecord } from "../../routing/types";
import { CachedRanking } from "../_lib/cachedRanking";

/** Time for which a node that didn't answer is not a candidate, in milliseconds. */
const suspicionMs = 1_000;
/** Number of nodes up to which one holder serves all of them; a larger fleet has one in each failure domain. */
const maxPooledNodes = 128;
/** Time for which the highest number of nodes counts; a node that is cut off still owns its share, in milliseconds. */
const countRetentionMs = 10_000;

/** Host and failure domain of the node that chooses. */
export interface HolderPlace {
    readonly host: string;
    readonly failureDomain: string;
}

/**
 * Ranks the nodes of the fleet and of the own failure domain. The holder is the first of the fleet, or of the domain while
 * that one doesn't answer, as when the domain is cut off.
 */
export class HolderChoice {
    private readonly fleetRanking = new CachedRanking("quotas");
    private readonly domainRanking: CachedRanking;
    private records: readonly UpstreamRecord[] = [];
    /** Candidates in order; undefined after a new list of nodes. */
    private ranking: readonly string[] | undefined;
    private readonly suspectedUntilMs = new Map<string, number>();
    private nodeCounts: readonly { readonly count: number; readonly atMs: number; }[] = [];

    constructor(private readonly place: HolderPlace) {
        this.domainRanking = new CachedRanking(`${place.failureDomain}/quotas`);
    }

    updateNodes(records: readonly UpstreamRecord[], nodeCount: number, nowMs: number): void {
        this.records = records;
        this.ranking = undefined;
        const recent = this.nodeCounts.filter(({ atMs }) => nowMs - atMs < countRetentionMs);
        // The former number was in force until now.
        const former = this.nodeCounts.slice(-1).map(({ count }) => ({ count, atMs: nowMs }));
        this.nodeCounts = [...recent, ...former, { count: nodeCount, atMs: nowMs }];
    }

    /** Returns the first candidate that has not just failed to answer. */
    choose(nowMs: number): string {
        this.ranking ??= this.computeRanking();
        return this.ranking.find(host => !this.isSuspected(host, nowMs)) ?? this.place.host;
    }

    isSuspected(host: string, nowMs: number): boolean {
        return nowMs < (this.suspectedUntilMs.get(host) ?? -Infinity);
    }

    recordSilence(host: string, nowMs: number): void {
        this.suspectedUntilMs.forEach((untilMs, suspect) => nowMs < untilMs || this.suspectedUntilMs.delete(suspect));
        this.suspectedUntilMs.set(host, nowMs + suspicionMs);
    }

    /** Returns the highest number of nodes that has recently been in force, at least 1. */
    countNodes(nowMs: number): number {
        const recent = this.nodeCounts.filter(({ atMs }) => nowMs - atMs < countRetentionMs);
        return Math.max(1, this.latestCount, ...recent.map(({ count }) => count));
    }

    private get latestCount(): number {
        return this.nodeCounts[this.nodeCounts.length - 1]?.count ?? 1;
    }

    private computeRanking(): readonly string[] {
        const ready = this.records.filter(({ state }) => state === "ready");
        const inDomain = ready.filter(({ failureDomain }) => failureDomain === this.place.failureDomain);
        const domainHosts = this.domainRanking.update(inDomain.map(({ host }) => host));
        if (this.latestCount > maxPooledNodes) {
            return domainHosts;
        }
        return [...this.fleetRanking.update(ready.map(({ host }) => host)).slice(0, 1), ...domainHosts];
    }
}
