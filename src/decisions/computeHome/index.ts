import { createHash } from "node:crypto";

const computeWeight = (key: string, endpoint: string): bigint =>
    createHash("sha256").update(endpoint).update("\n").update(key).digest().readBigUInt64BE(0);

/**
 * Computes the endpoint at which a non-idempotent request runs, by rendezvous hash of its key.
 * The endpoints come from the policy, not from the list of live instances,
 * so that a lost instance moves no key to another endpoint.
 */
export const computeHome = (caller: string, key: string, endpoints: readonly string[]): string | undefined => {
    const scopedKey = `${caller}\n${key}`;
    let home: string | undefined;
    let highest = -1n;
    endpoints.forEach(endpoint => {
        const weight = computeWeight(scopedKey, endpoint);
        if (weight > highest) {
            highest = weight;
            home = endpoint;
        }
    });
    return home;
};
