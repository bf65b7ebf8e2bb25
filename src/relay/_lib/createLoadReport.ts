import { type HopStats } from "../ingress/servedHop";
import { type SlotQueue } from "../slotQueue";
import { type HopRequest, type LoadReport } from "../types";

/** Creates what the sender of a request is told of the upstream, with what the request itself has met. */
export const createLoadReport = (
    slots: SlotQueue,
    hopRequest: HopRequest,
    met: HopStats,
    state: Pick<LoadReport, "leaving" | "version">,
): LoadReport => ({
    ...slots.readFigures(),
    congestion: Math.max(slots.computeCongestion(hopRequest), met.congestion),
    calls: met.nestedCalls,
    ...state,
});
