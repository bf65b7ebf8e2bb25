import { type Route } from "../routing/types";
import { createRoute } from "./createRoute";
import { VirtualClock } from "./virtualClock";
import { type CallerClass, VirtualRelayCallers } from "./virtualRelayCallers";
import { VirtualRelayFleet } from "./virtualRelayFleet";

const createNamed = (name: string, changes: Partial<Route>): Route =>
    createRoute({ name, prefix: `/${name}/`, ...changes });

/** Routes of a small simulation grid, in which each fetch or sweep leads to ten reads of one deep, slow service. */
export const gridRoutes = {
    fetch: createNamed("fetch", {
        targetLatencyMs: 2_000,
        timeoutMs: 3_000,
        targets: [{ service: "store", weight: 1 }],
    }),
    sweep: createNamed("sweep", {
        targetLatencyMs: 2_000,
        timeoutMs: 3_000,
        idempotent: false,
        rank: 0,
        maxUpstreams: 1,
        targets: [{ service: "broker", weight: 1 }],
    }),
    model: createNamed("model", {
        targetLatencyMs: 1_500,
        timeoutMs: 3_000,
        targets: [{ service: "library", weight: 1 }],
    }),
    signoff: createNamed("signoff", {
        targetLatencyMs: 500,
        timeoutMs: 1_000,
        idempotent: false,
        maxUpstreams: 1,
        targets: [{ service: "ledger", weight: 1 }],
    }),
    peek: createNamed("peek", { targetLatencyMs: 1_200, targets: [{ service: "broker", weight: 1 }] }),
    kit: createNamed("kit", { targetLatencyMs: 1_200, targets: [{ service: "library", weight: 1 }] }),
    wave: createNamed("wave", { targetLatencyMs: 300, timeoutMs: 700, targets: [{ service: "ledger", weight: 1 }] }),
};

const { fetch, sweep, model, signoff, peek, kit, wave } = gridRoutes;

/** A quarter of the size at which it runs. */
const services = [
    { name: "store", slots: 14, speeds: [0.6, 1, 1, 1.4] },
    { name: "broker", slots: 14, speeds: [0.5, 1, 1, 1.5] },
    { name: "library", slots: 14, speeds: [0.6, 1, 1, 1.4] },
    { name: "ledger", slots: 5, speeds: [0.5, 1, 1, 1.5] },
];

const work = {
    fetch: { meanMs: 220, together: true, calls: [{ route: peek, times: 2, deadlineMs: 3_000 }] },
    sweep: { meanMs: 290, together: true, calls: [{ route: kit, times: 2, deadlineMs: 2_500 }] },
    model: { meanMs: 550, calls: [] },
    signoff: { meanMs: 180, calls: [] },
    peek: { meanMs: 15, calls: [{ route: kit, times: 1, deadlineMs: 2_500 }] },
    kit: { meanMs: 15, calls: [{ route: wave, times: 5, deadlineMs: 700 }] },
    wave: { meanMs: 55, calls: [] },
};

const classes: readonly CallerClass[] = [
    { route: fetch, ratePerSecond: 18, deadlineMs: 6_000 },
    { route: sweep, ratePerSecond: 10, deadlineMs: 6_000 },
    { route: model, ratePerSecond: 9.5, deadlineMs: 6_000 },
    { route: signoff, ratePerSecond: 2.3, deadlineMs: 2_000 },
];

/** Creates the graph with its callers; `computeSurge` gives a factor on their rates at a time. */
export const createGridFleet = (seed: number, computeSurge: (atMs: number) => number) => {
    const clock = new VirtualClock();
    const fleet = new VirtualRelayFleet({ clock, seed, services, routes: Object.values(gridRoutes), work });
    const callers = new VirtualRelayCallers(fleet, clock, classes, computeSurge, seed);
    callers.start();
    return { clock, fleet, callers };
};
