import { computeHashWeight } from "../../_lib/computeHashWeight";

/**
 * Computes the home of a keyed request, the only endpoint that runs it, by rendezvous hash of the caller and the key.
 * `endpoints` come from the policy, not from the list of live instances, so that a key keeps its home when an instance
 * is lost. Returns undefined if there are no endpoints.
 */
export const computeHome = (caller: string, key: string, endpoints: readonly string[]): string | undefined => {
    const scopedKey = `${caller}\n${key}`;
    let home: string | undefined;
    let highestWeight = -1n;
    endpoints.forEach(endpoint => {
        const weight = computeHashWeight(scopedKey, endpoint);
        if (weight > highestWeight) {
            highestWeight = weight;
            home = endpoint;
        }
    });
    return home;
};
