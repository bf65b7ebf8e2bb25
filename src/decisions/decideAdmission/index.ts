import { type Importance } from "../../types";

/** Occupation of one upstream. */
export interface Occupation {
    readonly inFlight: number;
    readonly limit: number;
    /** Share of the limit that only critical requests use. */
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

/** Computes how many requests of an importance may be under way. */
export const computeRoom = (importance: Importance, limit: number, reservedShare: number): number => {
    const whole = Math.max(1, Math.floor(limit));
    if (importance === "critical") {
        return whole;
    }
    const reserved = Math.min(whole - 1, Math.ceil(whole * reservedShare));
    return whole - reserved;
};

/** Decides whether a request runs at once, waits, takes a less important request's place in the queue, or is refused. */
export const decideAdmission = (importance: Importance, occupation: Occupation): AdmissionDecision => {
    const room = computeRoom(importance, occupation.limit, occupation.reservedShare);
    if (occupation.inFlight < room && !occupation.hasEqualQueued) {
        return "run";
    }
    if (occupation.queued < occupation.maxQueued) {
        return "queue";
    }
    return occupation.hasLesserQueued ? "displace" : "refuse";
};
