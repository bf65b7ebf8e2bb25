import { type Importance } from "../../types";

/** Occupied slots and queue of one upstream, from the point of view of one request. */
export interface UpstreamOccupancy {
    /** Requests that hold a slot. */
    readonly inFlight: number;
    /** Requests in flight that are not critical. */
    readonly nonCriticalInFlight: number;
    /** Concurrency limit, in requests; may be fractional. */
    readonly limit: number;
    /** Share of the limit that is reserved for critical requests, 0 to 1. */
    readonly reservedShare: number;
    readonly queued: number;
    readonly maxQueued: number;
    /** Whether a request of lower importance is queued, which this one may displace. */
    readonly hasLessImportantQueued: boolean;
    /** Whether a request of the same or higher importance is queued, which gets a slot before this one. */
    readonly hasPrecedingQueued: boolean;
}

/** Decision on a request that needs a slot; "displace" queues it in place of a less important one. */
export type AdmissionDecision = "run" | "queue" | "displace" | "refuse";

/** Part of the occupancy that determines whether a slot is free. */
export type SlotOccupancy = Pick<UpstreamOccupancy, "inFlight" | "nonCriticalInFlight" | "limit" | "reservedShare">;

/**
 * Returns whether a slot is free for a request of the given importance. Requests that are not critical may together
 * hold all slots except the reserved ones, however many critical requests are in flight.
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
