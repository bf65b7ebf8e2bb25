/** What the wait for a slot follows from. */
export interface SlotWaitInput {
    readonly inFlight: number;
    /** Waiting requests that will get a slot earlier. */
    readonly queuedAhead: number;
    readonly limit: number;
    /** Mean time that a request holds a slot, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Computes how long a request is expected to wait for a slot, in milliseconds. */
export const computeSlotWait = (
    { inFlight, queuedAhead: ahead, limit, meanServiceMs: meanMs }: SlotWaitInput,
): number => Math.max(0, inFlight + ahead + 1 - limit) * meanMs / Math.max(1, limit);

/** A request that may wait for a slot. */
export interface MaxSlotWaitInput {
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Milliseconds until nobody waits for the answer any more. */
    readonly remainingMs: number;
    readonly targetLatencyMs: number;
    /** Time that requests of this route hold a slot, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Margin on the time that a request holds its slot. */
const workMargin = 1.2;
/** Share of the target latency that a new request may wait at least. */
const smallestWaitShare = 0.125;

/**
 * Computes how long a request may wait for a slot, in milliseconds. A nested request may wait as long as it can still
 * finish, since refusing it wastes the work of all its parents; a new one only as long as it would be answered within
 * its target latency, so that a refusal comes early enough to be of use.
 */
export const computeMaxSlotWait = (
    { nested, remainingMs, targetLatencyMs, meanServiceMs: workMs }: MaxSlotWaitInput,
): number => {
    const finishableMs = remainingMs - workMargin * workMs;
    if (nested) {
        return finishableMs;
    }
    const usefulMs = Math.max(targetLatencyMs - workMargin * workMs, smallestWaitShare * targetLatencyMs);
    return Math.min(finishableMs, usefulMs);
};
