import { type Route } from "../../src/routing/types";
import { type VirtualRelayCallers } from "../../src/testing/virtualRelayCallers";

/** Route that callers use, and what its answers are worth to them. */
export interface ValuedRoute {
    readonly route: Route;
    /** Worth of an answer within the target latency. */
    readonly worth: number;
    /** Share of that worth which a later answer still has. */
    readonly lateShare: number;
}

/** A load pattern; `run` plays it on a new virtual clock. */
export interface HeavyLoad {
    readonly name: string;
    readonly valuedRoutes: readonly ValuedRoute[];
    readonly run: (seed: number) => VirtualRelayCallers;
}
