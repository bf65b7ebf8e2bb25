import { checkShape } from "../../_lib/checkShape";
import { parseJson } from "../../_lib/parseJson";
import { maxPolicyLogBytes } from "../../constants";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { computeDigest } from "../computeDigest";
import { policyLogSchema } from "../schema";
import { type PolicyLog } from "../types";

/** Parses the text of a published policy log; the snapshot's policy is checked, entries only for their shape. */
export const parsePolicyLog = (text: string): Checked<PolicyLog> => {
    if (Buffer.byteLength(text) > maxPolicyLogBytes) {
        return { ok: false, faults: [{ path: "$", message: `longer than ${maxPolicyLogBytes} bytes` }] };
    }
    const parsed = parseJson(text);
    if (!parsed.ok) {
        return parsed;
    }
    const shaped = checkShape(policyLogSchema, parsed.value);
    if (!shaped.ok) {
        return shaped;
    }
    const checked = checkPolicy(shaped.value.snapshot.policy);
    if (!checked.ok) {
        return checked;
    }
    const { baseDigest, digest } = shaped.value.snapshot;
    return computeDigest(baseDigest, checked.value) === digest
        ? shaped
        : {
            ok: false,
            faults: [{ path: "$.snapshot.digest", message: "differs from the digest of the snapshot's policy" }],
        };
};
