import jsonPatch, { type Operation } from "fast-json-patch";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { type Policy, type PolicyPatch } from "../types";

/** Lists the JSON Pointers to the values that the operations of a patch change or test. */
const listChangedPaths = (patch: PolicyPatch): readonly string[] =>
    patch.flatMap(operation => operation.op === "move" ? [operation.path, operation.from] : [operation.path]);

/** Returns whether a change of the value at a path can change routes of a service: whether one contains the other. */
const canChangeRoutes = (path: string, serviceName: string): boolean => {
    const routesPath = `/services/${serviceName}/routes`;
    return `${path}/`.startsWith(`${routesPath}/`) || `${routesPath}/`.startsWith(`${path}/`);
};

/** Applies a patch to a copy of a policy and checks the result; returns the patched policy or the faults. */
export const applyPatch = (policy: Policy, patch: PolicyPatch): Checked<Policy> => {
    try {
        const document = jsonPatch.deepClone(policy) as unknown;
        const operations = jsonPatch.deepClone(patch) as Operation[];
        const result = jsonPatch.applyPatch(document, operations, true, true, true).newDocument;
        const changedPaths = listChangedPaths(patch);
        const hasCheckedRoutes = (name: string): boolean =>
            policy.services[name] !== undefined && !changedPaths.some(path => canChangeRoutes(path, name));
        return checkPolicy(result, { hasCheckedRoutes });
    }
    catch (error) {
        const [reason] = (error as Error).message.split("\n");
        return { ok: false, faults: [{ path: "$", message: `the patch does not apply: ${reason}` }] };
    }
};
