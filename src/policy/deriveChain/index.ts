import { applyPatch } from "../applyPatch";
import { computeDigest } from "../computeDigest";
import { type PolicyChain, type PolicyLog, type PolicyLogEntry, type PolicyVersion } from "../types";

type EntryResult =
    | { readonly accepted: true; readonly version: PolicyVersion; }
    | { readonly accepted: false; readonly reason: string; };

const applyEntry = (latest: PolicyVersion, entry: PolicyLogEntry): EntryResult => {
    if (entry.base !== latest.version) {
        return {
            accepted: false,
            reason: `made against version ${entry.base}, but version ${latest.version} was current`,
        };
    }
    if (entry.baseDigest !== latest.digest) {
        return { accepted: false, reason: `digest of base version ${entry.base} does not match` };
    }
    if (entry.version !== entry.base + 1) {
        return { accepted: false, reason: `names version ${entry.version}, but the next version is ${entry.base + 1}` };
    }
    const patched = applyPatch(latest.policy, entry.patch);
    if (!patched.ok) {
        return { accepted: false, reason: patched.faults.map(fault => `${fault.path}: ${fault.message}`).join("; ") };
    }
    const digest = computeDigest(latest.digest, patched.value);
    if (entry.digest !== digest) {
        return { accepted: false, reason: `digest of version ${entry.version} does not match the patched policy` };
    }
    const { version, baseDigest, author, time, reason } = entry;
    return { accepted: true, version: { version, baseDigest, digest, author, time, reason, policy: patched.value } };
};

/** The version that a derivation starts from, and the log entries that follow it. */
interface ChainStart {
    readonly version: PolicyVersion;
    readonly entries: readonly PolicyLogEntry[];
}

const findStart = (log: PolicyLog, knownVersion: PolicyVersion | undefined): ChainStart => {
    const knownIndex = knownVersion ? log.entries.findIndex(entry => entry.digest === knownVersion.digest) : -1;
    return knownVersion && knownIndex >= 0
        ? { version: knownVersion, entries: log.entries.slice(knownIndex + 1) }
        : { version: log.snapshot, entries: log.entries };
};

/**
 * Derives the accepted versions from a log. Every node that reads the same log derives the same chain. If an entry of
 * the log has the digest of `knownVersion`, the chain starts with that version, and earlier entries are skipped.
 */
export const deriveChain = (log: PolicyLog, knownVersion?: PolicyVersion): PolicyChain => {
    const start = findStart(log, knownVersion);
    return start.entries.reduce<PolicyChain>(
        (chain, entry) => {
            const latest = chain.versions[chain.versions.length - 1]!;
            const result = applyEntry(latest, entry);
            return result.accepted
                ? { ...chain, versions: [...chain.versions, result.version] }
                : { ...chain, rejected: [...chain.rejected, { entry, reason: result.reason }] };
        },
        { versions: [start.version], rejected: [] },
    );
};
