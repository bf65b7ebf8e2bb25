import jsonPatch, { type Operation } from "fast-json-patch";
import { type Checked } from "../../types";
import { checkPolicy } from "../checkPolicy";
import { type Policy, type PolicyPatch } from "../types";

/** Lists the places that a patch changes. */
const listChangedPaths = (patch: PolicyPatch): readonly string[] =>
    patch.flatMap(operation => operation.op === "move" ? [operation.path, operation.from] : [operation.path]);

/** Whether a change at a path may change the routes of a service. */
const isOverRoutes = (path: string, serviceName: string): boolean => {
    const routesPath = `/services/${serviceName}/routes`;
    return `${path}/`.startsWith(`${routesPath}/`) || `${routesPath}/`.startsWith(`${path}/`);
};

/** Applies a patch to a policy and checks the result; the input is left as it is. */
export const applyPatch = (policy: Policy, patch: PolicyPatch): Checked<Policy> => {
    try {
        const document = jsonPatch.deepClone(policy) as unknown;
        const operations = jsonPatch.deepClone(patch) as Operation[];
        const result = jsonPatch.applyPatch(document, operations, true, true, true).newDocument;
        const changedPaths = listChangedPaths(patch);
        const hasKnownRoutes = (name: string): boolean =>
            policy.services[name] !== undefined && !changedPaths.some(path => isOverRoutes(path, name));
        return checkPolicy(result, { hasCheckedRoutes: hasKnownRoutes });
    }
    catch (error) {
        const [reason] = (error as Error).message.split("\n");
        return { ok: false, faults: [{ path: "$", message: `the patch does not apply: ${reason}` }] };
    }
};
