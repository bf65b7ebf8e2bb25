import { type Importance } from "../../types";

/** Occupation of one upstream. */
export interface UpstreamOccupancy {
    readonly inFlight: number;
    /** Requests under way that are not critical. */
    readonly nonCriticalInFlight: number;
    readonly limit: number;
    /** Share of the limit that only critical requests may hold. */
    readonly reservedShare: number;
    readonly queued: number;
    readonly maxQueued: number;
    /** Whether a less important request waits in the queue. */
    readonly hasLessImportantQueued: boolean;
    /** Whether a request of the same or higher importance waits in the queue. */
    readonly hasAsImportantQueued: boolean;
}

/** What becomes of a request that asks for a slot. */
export type AdmissionDecision = "run" | "queue" | "displace" | "refuse";

/** The part of the occupation that decides whether a slot is free. */
export type SlotOccupancy = Pick<UpstreamOccupancy, "inFlight" | "nonCriticalInFlight" | "limit" | "reservedShare">;

/**
 * Whether a request of an importance may take a slot.
 * Requests that are not critical never hold the reserved slots, but may use all others that are free,
 * however many critical requests are under way.
 */
export const hasFreeSlot = (importance: Importance, occupation: SlotOccupancy): boolean => {
    const limit = Math.max(1, Math.floor(occupation.limit));
    if (occupation.inFlight >= limit) {
        return false;
    }
    const reserved = Math.min(limit - 1, Math.ceil(limit * occupation.reservedShare));
    return importance === "critical" || occupation.nonCriticalInFlight < limit - reserved;
};

/** Decides whether a request runs at once, waits, takes a less important request's place in the queue, or is refused. */
export const decideAdmission = (importance: Importance, occupation: UpstreamOccupancy): AdmissionDecision => {
    if (hasFreeSlot(importance, occupation) && !occupation.hasAsImportantQueued) {
        return "run";
    }
    if (occupation.queued < occupation.maxQueued) {
        return "queue";
    }
    return occupation.hasLessImportantQueued ? "displace" : "refuse";
};
