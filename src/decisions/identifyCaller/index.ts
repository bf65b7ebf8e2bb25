import { createHash } from "node:crypto";

/** A caller in the settings, identified by its credential. */
export interface KnownCaller {
    readonly name: string;
    /** Hexadecimal SHA-256 of the caller's whole Authorization header. */
    readonly credentialDigest: string;
}

const anonymousCaller = "anonymous";

/**
 * Identifies the caller of a request by its credential. Returns undefined if there are known callers but none has this
 * credential. If there are no known callers, the digest of the credential is the identity, so that two callers with
 * different credentials are never mistaken for one; all callers without a credential are "anonymous".
 */
export const identifyCaller = (
    authorization: string | undefined,
    knownCallers: readonly KnownCaller[],
): string | undefined => {
    const credentialDigest = authorization === undefined
        ? undefined
        : createHash("sha256").update(authorization).digest("hex");
    if (knownCallers.length === 0) {
        return credentialDigest ?? anonymousCaller;
    }
    return knownCallers.find(caller => caller.credentialDigest === credentialDigest)?.name;
};
