import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { computeDigest } from "../computeDigest";
import { type ChangeMetadata, type PolicyLog } from "../types";

/** Creates the log of a new policy, with the policy as version 1. */
export const createPolicyLog = (input: unknown, note: ChangeMetadata): Checked<PolicyLog> => {
    const checked = checkPolicy(input);
    if (!checked.ok) {
        return checked;
    }
    const policy = checked.value;
    return {
        ok: true,
        value: {
            snapshot: { version: 1, baseDigest: "", digest: computeDigest("", policy), ...note, policy },
            entries: [],
        },
    };
};
