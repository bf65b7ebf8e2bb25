import { checkShape } from "../../_lib/checkShape";
import { type Checked } from "../../types";
import { applyPatch } from "../applyPatch";
import { computeDigest } from "../computeDigest";
import { deriveChain } from "../deriveChain";
import { patchSchema } from "../schema";
import { type ChangeMetadata, type PolicyLog, type PolicyVersion } from "../types";

const refuse = (path: string, message: string): Checked<never> => ({ ok: false, faults: [{ path, message }] });

/**
 * Appends a patch against a numbered version; it is refused unless that version is the latest one.
 * A known version of the log saves the work for all entries up to it.
 */
export const patchPolicyLog = (
    log: PolicyLog,
    against: number,
    patchInput: unknown,
    note: ChangeMetadata,
    known?: PolicyVersion,
): Checked<PolicyLog> => {
    const patch = checkShape(patchSchema, patchInput);
    if (!patch.ok) {
        return patch;
    }
    const { versions } = deriveChain(log, known);
    const latest = versions[versions.length - 1]!;
    if (against !== latest.version) {
        return refuse("$", `the patch is against version ${against}, but version ${latest.version} is current`);
    }
    const patched = applyPatch(latest.policy, patch.value);
    if (!patched.ok) {
        return patched;
    }
    if (computeDigest("", patched.value) === computeDigest("", latest.policy)) {
        return refuse("$", "the patch changes nothing");
    }
    const entry = {
        base: latest.version,
        baseDigest: latest.digest,
        version: latest.version + 1,
        digest: computeDigest(latest.digest, patched.value),
        ...note,
        patch: patch.value,
    };
    return { ok: true, value: { ...log, entries: [...log.entries, entry] } };
};
