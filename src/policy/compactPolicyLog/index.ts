import { deriveChain } from "../deriveChain";
import { type PolicyLog } from "../types";

/**
 * Compacts a log: older versions and rejected entries go, the newest versions stay as a snapshot and its tail.
 * The digests stay as they are, so that nodes find the version that they have in force.
 */
export const compactPolicyLog = (log: PolicyLog, keptEntries: number): PolicyLog => {
    const { versions } = deriveChain(log);
    const snapshotIndex = Math.max(0, versions.length - 1 - keptEntries);
    const { version, baseDigest, digest, author, time, reason, policy } = versions[snapshotIndex]!;
    const keptDigests = new Set(versions.slice(snapshotIndex + 1).map(kept => kept.digest));
    return {
        snapshot: { version, baseDigest, digest, author, time, reason, policy },
        entries: log.entries.filter(entry => keptDigests.has(entry.digest)),
    };
};
