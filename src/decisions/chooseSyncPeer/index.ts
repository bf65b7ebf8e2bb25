import { type Instance } from "../../types";

/** Probability of choosing a node in the same failure domain if there are nodes both there and in other domains. */
const localPeerProbability = 0.7;

/**
 * Chooses a node to compare policy versions with. Returns undefined if there is no other node. The chosen node is
 * usually in the same failure domain and sometimes in another one, so that a version spreads between domains as soon as
 * they can reach each other. `randoms` are in [0, 1): the first selects the domain, the second the node.
 */
export const chooseSyncPeer = (
    instances: readonly Instance[],
    own: Pick<Instance, "endpoint" | "failureDomain">,
    randoms: readonly [number, number],
): Instance | undefined => {
    const others = instances.filter(instance => instance.endpoint !== own.endpoint);
    const local = others.filter(instance => instance.failureDomain === own.failureDomain);
    const remote = others.filter(instance => instance.failureDomain !== own.failureDomain);
    const isLocal = remote.length === 0 || local.length > 0 && randoms[0] < localPeerProbability;
    const pool = isLocal ? local : remote;
    return pool[Math.floor(randoms[1] * pool.length)];
};
