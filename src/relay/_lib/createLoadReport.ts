import { type HopStats } from "../ingress/servedHop";
import { type SlotQueue } from "../slotQueue";
import { type HopRequest, type LoadReport } from "../types";

/** Creates the load report for the sender of a request. Its congestion is the higher of the queue's and the hop's. */
export const createLoadReport = (
    slots: SlotQueue,
    hopRequest: HopRequest,
    hopStats: HopStats,
    nodeState: Pick<LoadReport, "leaving" | "version" | "tableAgeMs">,
): LoadReport => ({
    ...slots.readStats(),
    congestion: Math.max(slots.computeCongestion(hopRequest), hopStats.congestion),
    nestedCalls: hopStats.nestedCalls,
    ...nodeState,
});
