import { type Instance } from "../../types";

const nearShare = 0.7;

/**
 * Chooses whom to compare the version in force with: mostly a node of the own failure domain,
 * sometimes one of another, so that versions pass between them as soon as they can reach each other.
 */
export const chooseSyncPeer = (
    instances: readonly Instance[],
    own: Pick<Instance, "endpoint" | "failureDomain">,
    randoms: readonly [number, number],
): Instance | undefined => {
    const others = instances.filter(instance => instance.endpoint !== own.endpoint);
    const near = others.filter(instance => instance.failureDomain === own.failureDomain);
    const far = others.filter(instance => instance.failureDomain !== own.failureDomain);
    const isNear = far.length === 0 || near.length > 0 && randoms[0] < nearShare;
    const pool = isNear ? near : far;
    return pool[Math.floor(randoms[1] * pool.length)];
};
