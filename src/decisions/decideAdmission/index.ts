import { type Importance } from "../../types";

/** Use of the slots of one upstream and of the queue in front of them. */
export interface UpstreamOccupancy {
    readonly inFlight: number;
    /** Requests in flight that are not critical. */
    readonly nonCriticalInFlight: number;
    /** Concurrency limit, in requests; may be fractional. */
    readonly limit: number;
    /** Share of the limit that is reserved for critical requests, 0 to 1. */
    readonly reservedShare: number;
    readonly queued: number;
    readonly maxQueued: number;
    /** Whether a less important request is queued. */
    readonly hasLessImportantQueued: boolean;
    /** Whether a request of the same or higher importance is queued. */
    readonly hasPrecedingQueued: boolean;
}

/** Decision on a request that needs a slot; "displace" queues it in place of a less important one. */
export type AdmissionDecision = "run" | "queue" | "displace" | "refuse";

/** The properties that decide whether a slot is free. */
export type SlotOccupancy = Pick<UpstreamOccupancy, "inFlight" | "nonCriticalInFlight" | "limit" | "reservedShare">;

/**
 * Returns whether a slot is free for a request of an importance.
 * Requests that are not critical never hold the reserved slots, but may use all others, however many critical requests
 * are in flight.
 */
export const hasFreeSlot = (importance: Importance, occupancy: SlotOccupancy): boolean => {
    const limit = Math.max(1, Math.floor(occupancy.limit));
    if (occupancy.inFlight >= limit) {
        return false;
    }
    const reserved = Math.min(limit - 1, Math.ceil(limit * occupancy.reservedShare));
    return importance === "critical" || occupancy.nonCriticalInFlight < limit - reserved;
};

/**
 * Decides whether a request runs at once, is queued, displaces a less important request from the full queue, or is
 * refused.
 */
export const decideAdmission = (importance: Importance, occupancy: UpstreamOccupancy): AdmissionDecision => {
    if (hasFreeSlot(importance, occupancy) && !occupancy.hasPrecedingQueued) {
        return "run";
    }
    if (occupancy.queued < occupancy.maxQueued) {
        return "queue";
    }
    return occupancy.hasLessImportantQueued ? "displace" : "refuse";
};
