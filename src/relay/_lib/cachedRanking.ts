import { computeWatcherRanking } from "../../decisions/computeWatcherRanking";

/** Ranking of hosts by rendezvous hash, which is computed again only when the hosts have changed. */
export class CachedRanking {
    private hosts: readonly string[] = [];
    private ranked: readonly string[] = [];

    constructor(private readonly key: string) {}

    /** Ranks the hosts; the same hosts in another order may be ranked again, with the same result. */
    update(hosts: readonly string[]): readonly string[] {
        const isSame = hosts.length === this.hosts.length && hosts.every((host, index) => host === this.hosts[index]);
        if (!isSame) {
            this.hosts = hosts;
            this.ranked = computeWatcherRanking(this.key, hosts);
        }
        return this.ranked;
    }
}
