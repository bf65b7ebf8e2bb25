import { type Route } from "../routing/types";
import { createRoute } from "./createRoute";
import { VirtualClock } from "./virtualClock";
import { type RequestClass, VirtualRelayCallers } from "./virtualRelayCallers";
import { VirtualRelayFleet, type VirtualRelayFleetOptions } from "./virtualRelayFleet";

/** A call graph with the load on it. */
export interface VirtualLoadOptions extends Omit<VirtualRelayFleetOptions, "clock" | "seed"> {
    readonly classes: readonly RequestClass[];
}

/** Creates a route whose name is the first part of its paths, as virtual upstreams expect it. */
export const createNamedRoute = (name: string, changes: Partial<Route>): Route =>
    createRoute({ name, prefix: `/${name}/`, ...changes });

/** Creates a fleet with its callers on a clock of their own; `computeSurge` gives a factor on their rates at a time. */
export const createVirtualLoad = (
    { classes, ...graph }: VirtualLoadOptions,
    seed: number,
    computeSurge: (atMs: number) => number,
) => {
    const clock = new VirtualClock();
    const fleet = new VirtualRelayFleet({ ...graph, clock, seed });
    const callers = new VirtualRelayCallers(fleet, clock, classes, computeSurge, seed);
    callers.start();
    return { clock, fleet, callers };
};
