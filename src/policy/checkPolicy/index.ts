import createRouter from "find-my-way";
import { checkShape } from "../../_lib/checkShape";
import { type Checked, type Fault } from "../../types";
import { policySchema } from "../schema";
import { type Policy, type ServicePolicy } from "../types";

const listDuplicates = (names: readonly string[]): readonly string[] =>
    names.filter((name, index) => names.indexOf(name) !== index);

const checkRoutePaths = (serviceName: string, service: ServicePolicy): readonly Fault[] => {
    const router = createRouter();
    return service.routes.flatMap((route, index) => {
        try {
            router.on(route.method, route.path, () => undefined);
            return [];
        }
        catch (error) {
            return [{
                path: `$.services.${serviceName}.routes[${index}].path`,
                message: `invalid path pattern: ${(error as Error).message}`,
            }];
        }
    });
};

const checkService = (serviceName: string, service: ServicePolicy, arePathsChecked: boolean): readonly Fault[] => [
    ...listDuplicates(service.routes.map(route => route.name)).map(name => ({
        path: `$.services.${serviceName}.routes`,
        message: `two routes are named "${name}"`,
    })),
    ...(arePathsChecked ? [] : checkRoutePaths(serviceName, service)),
];

/** Checks that may be skipped because an earlier version of the policy passed them. */
export interface PolicyCheckOptions {
    /**
     * Returns whether the service's routes are unchanged since an earlier check. The paths of unchanged routes are not
     * checked again.
     */
    readonly hasCheckedRoutes?: (serviceName: string) => boolean;
}

/**
 * Checks a policy against its schema and, if it conforms to that, against the rules that span several fields: unique
 * names and valid path patterns. Returns the policy or the faults.
 */
export const checkPolicy = (input: unknown, options: PolicyCheckOptions = {}): Checked<Policy> => {
    const validated = checkShape(policySchema, input);
    if (!validated.ok) {
        return validated;
    }
    const services = Object.entries(validated.value.services);
    const endpointNames = services.flatMap(([, service]) => service.endpoints.map(endpoint => endpoint.name));
    const faults = [
        ...listDuplicates(endpointNames).map(name => ({
            path: "$.services",
            message: `two endpoints are named "${name}"`,
        })),
        ...services.flatMap(([name, service]) =>
            checkService(name, service, options.hasCheckedRoutes?.(name) ?? false)
        ),
    ];
    return faults.length === 0 ? validated : { ok: false, faults };
};
