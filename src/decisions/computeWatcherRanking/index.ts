import { computeHashWeight } from "../../_lib/computeHashWeight";

/**
 * Ranks the hosts of a failure domain by rendezvous hash. Nodes with the same list agree on the first ones, which watch
 * the store for the others, and a change of the list moves no other host.
 */
export const computeWatcherRanking = (failureDomain: string, hosts: readonly string[]): readonly string[] =>
    [...new Set(hosts)]
        .map(host => ({ host, weight: computeHashWeight(failureDomain, host) }))
        .sort((first, second) => first.weight < second.weight ? 1 : first.weight > second.weight ? -1 : 0)
        .map(({ host }) => host);
