import createRouter from "find-my-way";
import { checkShape } from "../../_lib/checkShape";
import { type Checked, type Fault } from "../../types";
import { policySchema } from "../schema";
import { type Policy, type ServicePolicy } from "../types";

const listRepeated = (names: readonly string[]): readonly string[] =>
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
                message: `not usable: ${(error as Error).message}`,
            }];
        }
    });
};

const checkService = (serviceName: string, service: ServicePolicy, arePathsKnown: boolean): readonly Fault[] => [
    ...listRepeated(service.routes.map(route => route.name)).map(name => ({
        path: `$.services.${serviceName}.routes`,
        message: `two routes are named "${name}"`,
    })),
    ...(arePathsKnown ? [] : checkRoutePaths(serviceName, service)),
];

/** What is known of a policy before it is checked. */
export interface PolicyCheckOptions {
    /** Services whose routes are the same as in a policy that was checked before. */
    readonly hasCheckedRoutes?: (serviceName: string) => boolean;
}

/** Checks a policy's shape and the rules that span several fields; all faults are listed at once. */
export const checkPolicy = (input: unknown, options: PolicyCheckOptions = {}): Checked<Policy> => {
    const shaped = checkShape(policySchema, input);
    if (!shaped.ok) {
        return shaped;
    }
    const services = Object.entries(shaped.value.services);
    const endpointNames = services.flatMap(([, service]) => service.endpoints.map(endpoint => endpoint.name));
    const faults = [
        ...listRepeated(endpointNames).map(name => ({
            path: "$.services",
            message: `two endpoints are named "${name}"`,
        })),
        ...services.flatMap(([name, service]) => checkService(name, service, options.hasCheckedRoutes?.(name) ?? false)),
    ];
    return faults.length === 0 ? shaped : { ok: false, faults };
};
