import { createHash } from "node:crypto";

/** A caller that the settings name. */
export interface KnownCaller {
    readonly name: string;
    /** SHA-256 of the caller's whole Authorization header. */
    readonly credentialDigest: string;
}

const anonymous = "anonymous";

/**
 * Identifies the caller of a request by its credential; undefined when callers are listed and this is none of them.
 * Without a list, the digest of the credential is the identity, so that two callers are never taken for one.
 */
export const identifyCaller = (
    authorization: string | undefined,
    knownCallers: readonly KnownCaller[],
): string | undefined => {
    const credentialDigest = authorization === undefined
        ? undefined
        : createHash("sha256").update(authorization).digest("hex");
    if (knownCallers.length === 0) {
        return credentialDigest ?? anonymous;
    }
    return knownCallers.find(caller => caller.credentialDigest === credentialDigest)?.name;
};
