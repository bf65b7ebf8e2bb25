/** Ranks the nodes of a failure domain, and chooses those that watch the store and those to ask. */
import { type UpstreamRecord } from "../../routing/types";
import { CachedRanking } from "../_lib/cachedRanking";

/** Number of nodes of a failure domain that watch the store. */
const watchersPerDomain = 2;
/** Time for which a node that didn't answer isn't asked, in milliseconds. */
const suspicionMs = 3_000;

/** Host and failure domain of the node that ranks. */
export interface RankingPlace {
    readonly host: string;
    readonly failureDomain: string;
}

/** Ranking of the ready nodes in the failure domain, without those that lately did not answer. */
export class PeerRanking {
    private readonly ranking: CachedRanking;
    private rankedHosts: readonly string[] = [];
    private readonly suspectedUntilMs = new Map<string, number>();

    constructor(private readonly place: RankingPlace, private readonly readNowMs: () => number) {
        this.ranking = new CachedRanking(place.failureDomain);
    }

    /** Whether another node is known. */
    get hasPeers(): boolean {
        return this.listOthers().length > 0;
    }

    /** Lists all other nodes of the failure domain. */
    listOthers(): readonly string[] {
        return this.rankedHosts.filter(host => host !== this.place.host);
    }

    update(records: readonly UpstreamRecord[]): void {
        const { failureDomain } = this.place;
        const hosts = records
            .filter(record => record.failureDomain === failureDomain && record.state !== "draining")
            .map(({ host }) => host);
        this.rankedHosts = this.ranking.update(hosts);
    }

    /** Whether this node is one of those that watch the store for the others. */
    isWatcher(): boolean {
        return this.rankedHosts.slice(0, watchersPerDomain).includes(this.place.host);
    }

    /** Lists the nodes to ask in order; half of the nodes begin with the second one. */
    listPeers(): readonly string[] {
        const nowMs = this.readNowMs();
        const { host } = this.place;
        const peers = this.rankedHosts
            .filter(other => other !== host && (this.suspectedUntilMs.get(other) ?? -Infinity) <= nowMs)
            .slice(0, watchersPerDomain);
        return this.rankedHosts.indexOf(host) % watchersPerDomain === 0 ? peers : [...peers].reverse();
    }

    /** Keeps a node from being asked for a while. */
    recordFailure(host: string): void {
        const nowMs = this.readNowMs();
        [...this.suspectedUntilMs].filter(([, untilMs]) => untilMs <= nowMs).forEach(([other]) =>
            this.suspectedUntilMs.delete(other)
        );
        this.suspectedUntilMs.set(host, nowMs + suspicionMs);
    }
}
