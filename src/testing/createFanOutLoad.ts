import { createNamedRoute, createVirtualLoad } from "./createVirtualLoad";
import { type RequestClass } from "./virtualRelayCallers";

/** Routes of a fan-out graph; each fetch or sweep causes ten reads of one slow service, the ledger. */
export const fanOutRoutes = {
    fetch: createNamedRoute("fetch", {
        targetLatencyMs: 2_000,
        timeoutMs: 3_000,
        targets: [{ service: "store", weight: 1 }],
    }),
    sweep: createNamedRoute("sweep", {
        targetLatencyMs: 2_000,
        timeoutMs: 3_000,
        idempotent: false,
        rank: 0,
        maxUpstreams: 1,
        targets: [{ service: "broker", weight: 1 }],
    }),
    model: createNamedRoute("model", {
        targetLatencyMs: 1_500,
        timeoutMs: 3_000,
        targets: [{ service: "library", weight: 1 }],
    }),
    signoff: createNamedRoute("signoff", {
        targetLatencyMs: 500,
        timeoutMs: 1_000,
        idempotent: false,
        maxUpstreams: 1,
        targets: [{ service: "ledger", weight: 1 }],
    }),
    peek: createNamedRoute("peek", { targetLatencyMs: 1_200, targets: [{ service: "broker", weight: 1 }] }),
    kit: createNamedRoute("kit", { targetLatencyMs: 1_200, targets: [{ service: "library", weight: 1 }] }),
    wave: createNamedRoute("wave", {
        targetLatencyMs: 300,
        timeoutMs: 700,
        targets: [{ service: "ledger", weight: 1 }],
    }),
};

const { fetch, sweep, model, signoff, peek, kit, wave } = fanOutRoutes;

/** Services at a quarter of the deployed size. */
const services = [
    { name: "store", slots: 14, workFactors: [0.6, 1, 1, 1.4] },
    { name: "broker", slots: 14, workFactors: [0.5, 1, 1, 1.5] },
    { name: "library", slots: 14, workFactors: [0.6, 1, 1, 1.4] },
    { name: "ledger", slots: 5, workFactors: [0.5, 1, 1, 1.5] },
];

const work = {
    fetch: { meanWorkMs: 220, isParallel: true, nestedCalls: [{ route: peek, times: 2, deadlineMs: 3_000 }] },
    sweep: { meanWorkMs: 290, isParallel: true, nestedCalls: [{ route: kit, times: 2, deadlineMs: 2_500 }] },
    model: { meanWorkMs: 550, nestedCalls: [] },
    signoff: { meanWorkMs: 180, nestedCalls: [] },
    peek: { meanWorkMs: 15, nestedCalls: [{ route: kit, times: 1, deadlineMs: 2_500 }] },
    kit: { meanWorkMs: 15, nestedCalls: [{ route: wave, times: 5, deadlineMs: 700 }] },
    wave: { meanWorkMs: 55, nestedCalls: [] },
};

const createClasses = (routes: Pick<typeof fanOutRoutes, "fetch" | "sweep">): readonly RequestClass[] => [
    { route: routes.fetch, ratePerSecond: 18, deadlineMs: 6_000 },
    { route: routes.sweep, ratePerSecond: 10, deadlineMs: 6_000 },
    { route: model, ratePerSecond: 9.5, deadlineMs: 6_000 },
    { route: signoff, ratePerSecond: 2.3, deadlineMs: 2_000 },
];

/** Timeouts of the routes that callers use, in milliseconds. */
export interface FanOutTimeouts {
    readonly fetchMs: number;
    readonly sweepMs: number;
}

/** Creates the fan-out graph with running callers, as `createVirtualLoad` does. */
export const createFanOutLoad = (
    seed: number,
    computeRateFactor: (atMs: number) => number,
    { fetchMs, sweepMs }: FanOutTimeouts = { fetchMs: fetch.timeoutMs, sweepMs: sweep.timeoutMs },
) => {
    const routes = {
        ...fanOutRoutes,
        fetch: { ...fetch, timeoutMs: fetchMs },
        sweep: { ...sweep, timeoutMs: sweepMs },
    };
    const options = { services, routes: Object.values(routes), work, classes: createClasses(routes) };
    return createVirtualLoad(options, seed, computeRateFactor);
};
