import { type HopStats } from "../ingress/servedHop";
import { type SlotQueue } from "../slotQueue";
import { type HopRequest, type LoadReport } from "../types";

/** Creates the load report for the sender of a request from the load of the upstream and of the nested requests. */
export const createLoadReport = (
    slots: SlotQueue,
    hopRequest: HopRequest,
    nested: HopStats,
    state: Pick<LoadReport, "leaving" | "version">,
): LoadReport => ({
    ...slots.readStats(),
    congestion: Math.max(slots.computeCongestion(hopRequest), nested.congestion),
    nestedCalls: nested.nestedCalls,
    ...state,
});
