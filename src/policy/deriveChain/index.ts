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
        return { accepted: false, reason: `digest of base version ${entry.base} differs` };
    }
    if (entry.version !== entry.base + 1) {
        return { accepted: false, reason: `names version ${entry.version}, but ${entry.base + 1} follows` };
    }
    const patched = applyPatch(latest.policy, entry.patch);
    if (!patched.ok) {
        return { accepted: false, reason: patched.faults.map(fault => `${fault.path}: ${fault.message}`).join("; ") };
    }
    const digest = computeDigest(latest.digest, patched.value);
    if (entry.digest !== digest) {
        return { accepted: false, reason: `digest of version ${entry.version} differs from the patched policy` };
    }
    const { version, baseDigest, author, time, reason } = entry;
    return { accepted: true, version: { version, baseDigest, digest, author, time, reason, policy: patched.value } };
};

/** Where a derivation begins: a version, and the entries of the log that come after it. */
interface ChainStart {
    readonly version: PolicyVersion;
    readonly entries: readonly PolicyLogEntry[];
}

const findStart = (log: PolicyLog, known: PolicyVersion | undefined): ChainStart => {
    const knownIndex = known ? log.entries.findIndex(entry => entry.digest === known.digest) : -1;
    return known && knownIndex >= 0
        ? { version: known, entries: log.entries.slice(knownIndex + 1) }
        : { version: log.snapshot, entries: log.entries };
};

/**
 * Derives the accepted versions from a log; every node that reads the same log derives the same chain.
 * A version that is known already, and that the log contains, saves the work for all entries up to it.
 */
export const deriveChain = (log: PolicyLog, known?: PolicyVersion): PolicyChain => {
    const start = findStart(log, known);
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
