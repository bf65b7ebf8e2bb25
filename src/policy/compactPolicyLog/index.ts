import { deriveChain } from "../deriveChain";
import { type PolicyLog } from "../types";

/**
 * Compacts a log to a snapshot and the newest accepted entries, at most `keptEntryCount`; older versions and rejected
 * entries are removed. Digests do not change, so that nodes still find their active version among the kept ones.
 */
export const compactPolicyLog = (log: PolicyLog, keptEntryCount: number): PolicyLog => {
    const { versions } = deriveChain(log);
    const snapshotIndex = Math.max(0, versions.length - 1 - keptEntryCount);
    const { version, baseDigest, digest, author, time, reason, policy } = versions[snapshotIndex]!;
    const keptDigests = new Set(versions.slice(snapshotIndex + 1).map(kept => kept.digest));
    return {
        snapshot: { version, baseDigest, digest, author, time, reason, policy },
        entries: log.entries.filter(entry => keptDigests.has(entry.digest)),
    };
};
