import { type HopStats } from "../ingress/servedHop";
import { type SlotQueue } from "../slotQueue";
import { type HopRequest, type LoadReport } from "../types";

/** Creates the load report for the sender of a request; reports the higher congestion of the queue and of the hop. */
export const createLoadReport = (
    slots: SlotQueue,
    hopRequest: HopRequest,
    hopStats: HopStats,
    nodeState: Pick<LoadReport, "leaving" | "version">,
): LoadReport => ({
    ...slots.readStats(),
    congestion: Math.max(slots.computeCongestion(hopRequest), hopStats.congestion),
    nestedCalls: hopStats.nestedCalls,
    ...nodeState,
});
