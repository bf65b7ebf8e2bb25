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

/** Creates the policy of a service from defaults and changes. */
export const createServicePolicy = (changes: Partial<ServicePolicy> = {}): ServicePolicy => ({
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
    ...changes,
});

/** Creates a policy with one service from defaults and changes. */
export const createPolicy = (changes: Partial<Policy> = {}): Policy => ({
    name: "test-graph",
    retryLimit: 3,
    drainLimitMs: 5_000,
    services: { desk: createServicePolicy() },
    ...changes,
});
