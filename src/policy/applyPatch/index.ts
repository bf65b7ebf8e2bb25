import jsonPatch, { type Operation } from "fast-json-patch";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { type Policy, type PolicyPatch } from "../types";

/** Applies a patch to a policy and checks the result; the input is left as it is. */
export const applyPatch = (policy: Policy, patch: PolicyPatch): Checked<Policy> => {
    try {
        const document = jsonPatch.deepClone(policy) as unknown;
        const operations = jsonPatch.deepClone(patch) as Operation[];
        const result = jsonPatch.applyPatch(document, operations, true, true, true).newDocument;
        return checkPolicy(result);
    }
    catch (error) {
        const [reason] = (error as Error).message.split("\n");
        return { ok: false, faults: [{ path: "$", message: `the patch does not apply: ${reason}` }] };
    }
};
