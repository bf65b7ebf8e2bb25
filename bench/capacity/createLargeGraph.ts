/** Creates synthetic policies and instance lists of a given size. */
import { type Policy } from "../../src/policy/types";
import { type Instance } from "../../src/types";

/** Total numbers of services and of endpoints in a synthetic call graph. */
export interface GraphSize {
    readonly services: number;
    readonly endpoints: number;
}

const failureDomains = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"];
const routesPerService = 4;

const createService = (name: string, endpointCount: number): Policy["services"][string] => ({
    slots: 100,
    connections: 800,
    queue: { maxLength: 100, maxWaitMs: 200 },
    reservedShare: 0.3,
    notRunStatuses: [],
    endpoints: [...Array(endpointCount).keys()].map(index => ({
        name: `${name}-${index}`,
        failureDomain: failureDomains[index % failureDomains.length]!,
    })),
    routes: [...Array(routesPerService).keys()].map(index => ({
        name: `route-${index}`,
        method: index % 2 === 0 ? "GET" as const : "POST" as const,
        path: `/things-${index}/:thing`,
        importance: index % 2 === 0 ? "normal" as const : "critical" as const,
        idempotent: index % 2 === 0,
        deadlineMs: 2_000,
    })),
});

/** Creates a policy of a given size, with the endpoints spread evenly over the services. */
export const createLargePolicy = (size: GraphSize): Policy => {
    const services = [...Array(size.services).keys()].map(index => {
        const extraEndpoints = index < size.endpoints % size.services ? 1 : 0;
        const name = `service-${index}`;
        return [name, createService(name, Math.floor(size.endpoints / size.services) + extraEndpoints)] as const;
    });
    return { name: "large", retryLimit: 3, drainLimitMs: 10_000, services: Object.fromEntries(services) };
};

/** Creates an instance list for all endpoints of a policy. Nothing listens at its addresses. */
export const createLargeInstances = (policy: Policy): readonly Instance[] =>
    Object.entries(policy.services).flatMap(([service, { endpoints }]) =>
        endpoints.map((endpoint, index) => ({
            endpoint: endpoint.name,
            service,
            failureDomain: endpoint.failureDomain,
            peer: { host: "127.0.0.1", port: 1_000 + index },
            control: { host: "127.0.0.1", port: 2_000 + index },
            state: "live",
        }))
    );
