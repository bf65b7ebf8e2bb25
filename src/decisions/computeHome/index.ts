import { createHash } from "node:crypto";

const computeWeight = (key: string, endpoint: string): bigint =>
    createHash("sha256").update(endpoint).update("\n").update(key).digest().readBigUInt64BE(0);

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
        const weight = computeWeight(scopedKey, endpoint);
        if (weight > highestWeight) {
            highestWeight = weight;
            home = endpoint;
        }
    });
    return home;
};
