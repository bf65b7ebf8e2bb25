import { checkShape } from "../../_lib/checkShape";
import { type Checked } from "../../types";
import { applyPatch } from "../applyPatch";
import { computeDigest } from "../computeDigest";
import { deriveChain } from "../deriveChain";
import { patchSchema } from "../schema";
import { type ChangeMetadata, type PolicyLog, type PolicyVersion } from "../types";

const createFaultResult = (path: string, message: string): Checked<never> => ({
    ok: false,
    faults: [{ path, message }],
});

/**
 * Returns a log with a patch appended. The patch is refused if it is malformed or does not apply, if its base version
 * is not the latest one, if it changes nothing or if the patched policy is invalid. If the log contains `knownVersion`,
 * the versions up to that one are not derived again.
 */
export const patchPolicyLog = (
    log: PolicyLog,
    baseVersion: number,
    patchInput: unknown,
    metadata: ChangeMetadata,
    knownVersion?: PolicyVersion,
): Checked<PolicyLog> => {
    const patch = checkShape(patchSchema, patchInput);
    if (!patch.ok) {
        return patch;
    }
    const { versions } = deriveChain(log, knownVersion);
    const latest = versions[versions.length - 1]!;
    if (baseVersion !== latest.version) {
        return createFaultResult(
            "$",
            `the patch is against version ${baseVersion}, but version ${latest.version} is current`,
        );
    }
    const patched = applyPatch(latest.policy, patch.value);
    if (!patched.ok) {
        return patched;
    }
    if (computeDigest("", patched.value) === computeDigest("", latest.policy)) {
        return createFaultResult("$", "the patch changes nothing");
    }
    const entry = {
        base: latest.version,
        baseDigest: latest.digest,
        version: latest.version + 1,
        digest: computeDigest(latest.digest, patched.value),
        ...metadata,
        patch: patch.value,
    };
    return { ok: true, value: { ...log, entries: [...log.entries, entry] } };
};
