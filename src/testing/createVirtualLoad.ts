import { type Route } from "../routing/types";
import { createRoute } from "./createRoute";
import { VirtualClock } from "./virtualClock";
import { type RequestClass, VirtualRelayCallers } from "./virtualRelayCallers";
import { VirtualRelayFleet, type VirtualRelayFleetOptions } from "./virtualRelayFleet";

/** A call graph and the requests that callers send to it. */
export interface VirtualLoadOptions extends Omit<VirtualRelayFleetOptions, "clock" | "seed"> {
    readonly classes: readonly RequestClass[];
}

/** Creates a route whose paths begin with its name; virtual upstreams look up the work of a request by this name. */
export const createNamedRoute = (name: string, changes: Partial<Route>): Route =>
    createRoute({ name, prefix: `/${name}/`, ...changes });

/**
 * Creates a fleet and its callers on a new virtual clock, and starts the callers.
 * `computeRateFactor` takes a virtual time in milliseconds and returns the factor that multiplies the callers' rates.
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
