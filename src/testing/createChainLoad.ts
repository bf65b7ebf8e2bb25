import { createNamedRoute, createVirtualLoad } from "./createVirtualLoad";
import { type RequestClass } from "./virtualRelayCallers";

/** Routes of a chain of services; each lookup or booking causes four sequential reads of the last service. */
export const chainRoutes = {
    lookup: createNamedRoute("lookup", {
        targetLatencyMs: 1_200,
        timeoutMs: 2_500,
        targets: [{ service: "desk", weight: 1 }],
    }),
    booking: createNamedRoute("booking", {
        targetLatencyMs: 1_500,
        timeoutMs: 2_500,
        idempotent: false,
        rank: 0,
        maxUpstreams: 1,
        targets: [{ service: "book", weight: 1 }],
    }),
    fuel: createNamedRoute("fuel", {
        targetLatencyMs: 250,
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

const { lookup, booking, fuel, audit, roster, stock } = chainRoutes;

const rosterCall = { route: roster, times: 1, deadlineMs: 2_000 };

/** Services at a tenth of the deployed size; the depot serves about 380 reads per second. */
const services = [
    { name: "desk", slots: 40, workFactors: [1, 1, 1] },
    { name: "book", slots: 40, workFactors: [0.8, 1, 1.2] },
    { name: "fleet", slots: 40, workFactors: [0.8, 1, 1.2] },
    { name: "depot", slots: 6, workFactors: [0.8, 1, 1.2] },
];

const work = {
    lookup: { meanWorkMs: 90, nestedCalls: [{ route: audit, times: 1, deadlineMs: 2_500 }] },
    booking: { meanWorkMs: 120, nestedCalls: [rosterCall] },
    fuel: { meanWorkMs: 72, nestedCalls: [] },
    audit: { meanWorkMs: 15, nestedCalls: [rosterCall] },
    roster: { meanWorkMs: 15, nestedCalls: [{ route: stock, times: 4, deadlineMs: 700 }] },
    stock: { meanWorkMs: 22, nestedCalls: [] },
};

const classes: readonly RequestClass[] = [
    { route: lookup, ratePerSecond: 70, deadlineMs: 5_000 },
    { route: booking, ratePerSecond: 31, deadlineMs: 5_000 },
    { route: fuel, ratePerSecond: 8, deadlineMs: 1_000 },
];

const options = { services, routes: Object.values(chainRoutes), work, classes };

/** Creates the chain of services with running callers, as `createVirtualLoad` does. */
export const createChainLoad = (seed: number, computeRateFactor: (atMs: number) => number) =>
    createVirtualLoad(options, seed, computeRateFactor);
