import { createNamedRoute, createVirtualLoad } from "./createVirtualLoad";
import { type RequestClass } from "./virtualRelayCallers";

/**
 * Routes of a graph whose bottleneck, the depot, is three calls deep: a lookup needs four of its reads, a booking eight in two
 * branches of which each holds a slot of the fleet service, and a status shares only that service.
 */
export const deepReadRoutes = {
    lookup: createNamedRoute("lookup", {
        targetLatencyMs: 1_500,
        timeoutMs: 1_000,
        targets: [{ service: "desk", weight: 1 }],
    }),
    booking: createNamedRoute("booking", {
        targetLatencyMs: 1_500,
        timeoutMs: 1_500,
        idempotent: false,
        rank: 0,
        maxUpstreams: 1,
        targets: [{ service: "book", weight: 1 }],
    }),
    status: createNamedRoute("status", {
        targetLatencyMs: 1_200,
        timeoutMs: 2_500,
        targets: [{ service: "fleet", weight: 1 }],
    }),
    fuel: createNamedRoute("fuel", {
        targetLatencyMs: 500,
        timeoutMs: 1_000,
        idempotent: false,
        maxUpstreams: 1,
        targets: [{ service: "depot", weight: 1 }],
    }),
    audit: createNamedRoute("audit", { targetLatencyMs: 1_000, targets: [{ service: "book", weight: 1 }] }),
    roster: createNamedRoute("roster", { targetLatencyMs: 800, targets: [{ service: "fleet", weight: 1 }] }),
    stock: createNamedRoute("stock", {
        targetLatencyMs: 300,
        timeoutMs: 700,
        targets: [{ service: "depot", weight: 1 }],
    }),
};

const { lookup, booking, status, fuel, audit, roster, stock } = deepReadRoutes;

/** Services at a fifth of the deployed size; the usual load keeps nine tenths of the depot's slots in use. */
const services = [
    { name: "desk", slots: 25, workFactors: [0.7, 1, 1.3] },
    { name: "book", slots: 50, workFactors: [0.6, 1, 1.4] },
    { name: "fleet", slots: 50, workFactors: [0.7, 1, 1.3] },
    { name: "depot", slots: 12, workFactors: [0.6, 1, 1.4] },
];

const work = {
    lookup: { meanWorkMs: 160, nestedCalls: [{ route: audit, times: 1, deadlineMs: 2_500 }] },
    booking: { meanWorkMs: 210, isParallel: true, nestedCalls: [{ route: roster, times: 2, deadlineMs: 2_000 }] },
    status: { meanWorkMs: 400, nestedCalls: [] },
    fuel: { meanWorkMs: 130, nestedCalls: [] },
    audit: { meanWorkMs: 15, nestedCalls: [{ route: roster, times: 1, deadlineMs: 2_000 }] },
    roster: { meanWorkMs: 15, nestedCalls: [{ route: stock, times: 4, deadlineMs: 700 }] },
    stock: { meanWorkMs: 40, nestedCalls: [] },
};

const classes: readonly RequestClass[] = [
    { route: lookup, ratePerSecond: 46, deadlineMs: 5_000 },
    { route: booking, ratePerSecond: 64, deadlineMs: 5_000 },
    { route: status, ratePerSecond: 24, deadlineMs: 5_000 },
    { route: fuel, ratePerSecond: 16, deadlineMs: 2_000 },
];

const options = { services, routes: Object.values(deepReadRoutes), work, classes };

/** Creates the graph with running callers, as `createVirtualLoad` does. */
export const createDeepReadLoad = (seed: number, computeRateFactor: (atMs: number) => number) =>
    createVirtualLoad(options, seed, computeRateFactor);
