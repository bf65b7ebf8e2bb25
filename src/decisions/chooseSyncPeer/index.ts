import { type Instance } from "../../types";

const localPeerProbability = 0.7;

/**
 * Chooses the node with which to compare policy versions: usually one of the own failure domain, sometimes one of
 * another, so that a version spreads between failure domains as soon as they can reach each other. `randoms` lie in
 * [0, 1).
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
