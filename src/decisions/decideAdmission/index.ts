import { type Importance } from "../../types";

/** Occupation of one upstream. */
export interface Occupation {
    readonly inFlight: number;
    /** Requests under way that are not critical. */
    readonly lesserInFlight: number;
    readonly limit: number;
    /** Share of the limit that only critical requests may hold. */
    readonly reservedShare: number;
    readonly queued: number;
    readonly maxQueued: number;
    /** Whether a less important request waits in the queue. */
    readonly hasLesserQueued: boolean;
    /** Whether a request of the same or higher importance waits in the queue. */
    readonly hasEqualQueued: boolean;
}

/** What becomes of a request that asks for a slot. */
export type AdmissionDecision = "run" | "queue" | "displace" | "refuse";

/** The part of the occupation that decides whether a slot is free. */
export type SlotOccupation = Pick<Occupation, "inFlight" | "lesserInFlight" | "limit" | "reservedShare">;

/**
 * Whether a request of an importance may take a slot.
 * Requests that are not critical never hold the reserved slots, but may use all others that are free,
 * however many critical requests are under way.
 */
export const hasFreeSlot = (importance: Importance, occupation: SlotOccupation): boolean => {
    const limit = Math.max(1, Math.floor(occupation.limit));
    if (occupation.inFlight >= limit) {
        return false;
    }
    const reserved = Math.min(limit - 1, Math.ceil(limit * occupation.reservedShare));
    return importance === "critical" || occupation.lesserInFlight < limit - reserved;
};

/** Decides whether a request runs at once, waits, takes a less important request's place in the queue, or is refused. */
export const decideAdmission = (importance: Importance, occupation: Occupation): AdmissionDecision => {
    if (hasFreeSlot(importance, occupation) && !occupation.hasEqualQueued) {
        return "run";
    }
    if (occupation.queued < occupation.maxQueued) {
        return "queue";
    }
    return occupation.hasLesserQueued ? "displace" : "refuse";
};
