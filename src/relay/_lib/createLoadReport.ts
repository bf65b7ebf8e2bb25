import { type CallFigures } from "../ingress/servedHop";
import { type SlotQueue } from "../slotQueue";
import { type HopRequest, type LoadReport } from "../types";

/** Creates what the sender of a request is told of the upstream, with what the request itself has met. */
export const createLoadReport = (
    slots: SlotQueue,
    hopRequest: HopRequest,
    met: CallFigures,
    state: Pick<LoadReport, "leaving" | "version">,
): LoadReport => ({
    ...slots.readStats(),
    congestion: Math.max(slots.computeCongestion(hopRequest), met.congestion),
    nestedCalls: met.calls,
    ...state,
});
