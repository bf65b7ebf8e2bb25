import { type Policy, type RoutePolicy, type ServicePolicy } from "../policy/types";

const lookUp: RoutePolicy = {
    name: "look-up",
    method: "GET",
    path: "/items/:item",
    importance: "normal",
    idempotent: true,
    deadlineMs: 1_000,
};

const book: RoutePolicy = {
    name: "book",
    method: "POST",
    path: "/bookings",
    importance: "critical",
    idempotent: false,
    deadlineMs: 1_000,
};

/** Creates the policy of a service, by default with two endpoints in different failure domains. */
export const createServicePolicy = (overrides: Partial<ServicePolicy> = {}): ServicePolicy => ({
    slots: 10,
    connections: 100,
    queue: { maxLength: 10, maxWaitMs: 100 },
    reservedShare: 0.3,
    notRunStatuses: [],
    endpoints: [
        { name: "desk-a", failureDomain: "zone-a" },
        { name: "desk-b", failureDomain: "zone-b" },
    ],
    routes: [lookUp, book],
    ...overrides,
});

/** Creates a policy, by default with `desk` as its only service. */
export const createPolicy = (overrides: Partial<Policy> = {}): Policy => ({
    name: "test-graph",
    retryLimit: 3,
    drainLimitMs: 5_000,
    services: { desk: createServicePolicy() },
    ...overrides,
});
