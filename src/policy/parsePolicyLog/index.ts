import { checkShape } from "../../_lib/checkShape";
import { parseJson } from "../../_lib/parseJson";
import { maxPolicyLogBytes } from "../../constants";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { computeDigest } from "../computeDigest";
import { policyLogSchema } from "../schema";
import { type PolicyLog, type PolicyVersion } from "../types";

const createFaultResult = (path: string, message: string): Checked<never> => ({
    ok: false,
    faults: [{ path, message }],
});

const checkSnapshot = (log: PolicyLog): Checked<PolicyLog> => {
    const checked = checkPolicy(log.snapshot.policy);
    if (!checked.ok) {
        return checked;
    }
    const { baseDigest, digest } = log.snapshot;
    return computeDigest(baseDigest, checked.value) === digest
        ? { ok: true, value: log }
        : createFaultResult("$.snapshot.digest", "does not match the digest of the snapshot's policy");
};

/** Fields of a parsed but unchecked log that may identify a known version. */
interface UncheckedLog {
    readonly snapshot?: { readonly digest?: unknown; };
    readonly entries?: unknown;
}

/** Returns the entries of a log that follow a known version, or undefined if that version is not found in the log. */
const findEntriesAfter = (input: unknown, knownVersion: PolicyVersion): readonly unknown[] | undefined => {
    const log = input as UncheckedLog | undefined;
    if (!Array.isArray(log?.entries)) {
        return undefined;
    }
    const entries = log.entries as readonly ({ readonly digest?: unknown; } | undefined)[];
    const index = entries.findIndex(entry => entry?.digest === knownVersion.digest);
    const isSnapshot = log.snapshot?.digest === knownVersion.digest;
    return index >= 0 || isSnapshot ? entries.slice(index + 1) : undefined;
};

/**
 * Parses the text of a published policy log. The snapshot's policy and digest are checked in full, the entries only
 * against their schema. If the log contains `knownVersion`, only the entries that follow it are checked and returned,
 * with the known version as the snapshot.
 */
export const parsePolicyLog = (text: string, knownVersion?: PolicyVersion): Checked<PolicyLog> => {
    if (Buffer.byteLength(text) > maxPolicyLogBytes) {
        return createFaultResult("$", `longer than ${maxPolicyLogBytes} bytes`);
    }
    const parsed = parseJson(text);
    if (!parsed.ok) {
        return parsed;
    }
    const newEntries = knownVersion && findEntriesAfter(parsed.value, knownVersion);
    if (knownVersion && newEntries) {
        const entries = checkShape(policyLogSchema.shape.entries, newEntries);
        return entries.ok ? { ok: true, value: { snapshot: knownVersion, entries: entries.value } } : entries;
    }
    const validated = checkShape(policyLogSchema, parsed.value);
    return validated.ok ? checkSnapshot(validated.value) : validated;
};
