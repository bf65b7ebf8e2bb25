import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { computeDigest } from "../computeDigest";
import { type ChangeMetadata, type PolicyLog } from "../types";

/** Creates a log with a new policy as version 1; returns the faults if the policy is invalid. */
export const createPolicyLog = (input: unknown, metadata: ChangeMetadata): Checked<PolicyLog> => {
    const checked = checkPolicy(input);
    if (!checked.ok) {
        return checked;
    }
    const policy = checked.value;
    return {
        ok: true,
        value: {
            snapshot: { version: 1, baseDigest: "", digest: computeDigest("", policy), ...metadata, policy },
            entries: [],
        },
    };
};
