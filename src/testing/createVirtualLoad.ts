import { type Route } from "../routing/types";
import { createRoute } from "./createRoute";
import { VirtualClock } from "./virtualClock";
import { type RequestClass, VirtualRelayCallers } from "./virtualRelayCallers";
import { VirtualRelayFleet, type VirtualRelayFleetOptions } from "./virtualRelayFleet";

/** A call graph and the requests that callers send to it. */
export interface VirtualLoadOptions extends Omit<VirtualRelayFleetOptions, "clock" | "seed"> {
    readonly classes: readonly RequestClass[];
}

/** Creates a route whose name is the first segment of its paths, by which virtual upstreams find its work. */
export const createNamedRoute = (name: string, changes: Partial<Route>): Route =>
    createRoute({ name, prefix: `/${name}/`, ...changes });

/**
 * Creates a fleet with running callers on a virtual clock of its own.
 * `computeRateFactor` returns the factor on the callers' rates at a virtual time in milliseconds.
 */
export const createVirtualLoad = (
    { classes, ...fleetOptions }: VirtualLoadOptions,
    seed: number,
    computeRateFactor: (atMs: number) => number,
) => {
    const clock = new VirtualClock();
    const fleet = new VirtualRelayFleet({ ...fleetOptions, clock, seed });
    const callers = new VirtualRelayCallers(fleet, clock, classes, computeRateFactor, seed);
    callers.start();
    return { clock, fleet, callers };
};
