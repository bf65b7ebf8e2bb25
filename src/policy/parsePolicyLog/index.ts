import { checkShape } from "../../_lib/checkShape";
import { parseJson } from "../../_lib/parseJson";
import { maxPolicyLogBytes } from "../../constants";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { computeDigest } from "../computeDigest";
import { policyLogSchema } from "../schema";
import { type PolicyLog, type PolicyVersion } from "../types";

const refuse = (path: string, message: string): Checked<never> => ({ ok: false, faults: [{ path, message }] });

const checkSnapshot = (log: PolicyLog): Checked<PolicyLog> => {
    const checked = checkPolicy(log.snapshot.policy);
    if (!checked.ok) {
        return checked;
    }
    const { baseDigest, digest } = log.snapshot;
    return computeDigest(baseDigest, checked.value) === digest
        ? { ok: true, value: log }
        : refuse("$.snapshot.digest", "differs from the digest of the snapshot's policy");
};

/** The parts of a log in which a known version is looked for, before anything is checked. */
interface UncheckedLog {
    readonly snapshot?: { readonly digest?: unknown; };
    readonly entries?: unknown;
}

/** Returns the entries of a log behind a known version; undefined if the log does not contain it. */
const findTail = (input: unknown, known: PolicyVersion): readonly unknown[] | undefined => {
    const log = input as UncheckedLog | undefined;
    if (!Array.isArray(log?.entries)) {
        return undefined;
    }
    const entries = log.entries as readonly ({ readonly digest?: unknown; } | undefined)[];
    const index = entries.findIndex(entry => entry?.digest === known.digest);
    const isSnapshot = log.snapshot?.digest === known.digest;
    return index >= 0 || isSnapshot ? entries.slice(index + 1) : undefined;
};

/**
 * Parses the text of a published policy log; the snapshot's policy is checked, entries only for their shape.
 * If the log contains a known version, only what follows it is checked and returned, with that version as the snapshot.
 */
export const parsePolicyLog = (text: string, known?: PolicyVersion): Checked<PolicyLog> => {
    if (Buffer.byteLength(text) > maxPolicyLogBytes) {
        return refuse("$", `longer than ${maxPolicyLogBytes} bytes`);
    }
    const parsed = parseJson(text);
    if (!parsed.ok) {
        return parsed;
    }
    const tail = known && findTail(parsed.value, known);
    if (known && tail) {
        const entries = checkShape(policyLogSchema.shape.entries, tail);
        return entries.ok ? { ok: true, value: { snapshot: known, entries: entries.value } } : entries;
    }
    const shaped = checkShape(policyLogSchema, parsed.value);
    return shaped.ok ? checkSnapshot(shaped.value) : shaped;
};
