import jsonPatch, { type Operation } from "fast-json-patch";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { type Policy, type PolicyPatch } from "../types";

/** Lists the JSON Pointer paths that a patch changes. */
const listChangedPaths = (patch: PolicyPatch): readonly string[] =>
    patch.flatMap(operation => operation.op === "move" ? [operation.path, operation.from] : [operation.path]);

/** Whether a path lies within the routes of a service or contains them, so that a change at it may change routes. */
const isOverlappingRoutes = (path: string, serviceName: string): boolean => {
    const routesPath = `/services/${serviceName}/routes`;
    return `${path}/`.startsWith(`${routesPath}/`) || `${routesPath}/`.startsWith(`${path}/`);
};

/** Applies a patch to a policy and checks the result; the input is not modified. */
export const applyPatch = (policy: Policy, patch: PolicyPatch): Checked<Policy> => {
    try {
        const document = jsonPatch.deepClone(policy) as unknown;
        const operations = jsonPatch.deepClone(patch) as Operation[];
        const result = jsonPatch.applyPatch(document, operations, true, true, true).newDocument;
        const changedPaths = listChangedPaths(patch);
        const hasCheckedRoutes = (name: string): boolean =>
            policy.services[name] !== undefined && !changedPaths.some(path => isOverlappingRoutes(path, name));
        return checkPolicy(result, { hasCheckedRoutes });
    }
    catch (error) {
        const [reason] = (error as Error).message.split("\n");
        return { ok: false, faults: [{ path: "$", message: `the patch does not apply: ${reason}` }] };
    }
};
