/** Load of an upstream, and the position of a request in its queue. */
export interface SlotWaitInput {
    /** Requests that hold a slot. */
    readonly inFlight: number;
    /** Queued requests that will get a slot before this one. */
    readonly queuedAhead: number;
    /** Concurrency limit, in requests. */
    readonly limit: number;
    /** Mean service time, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Computes the expected wait of a request for a slot, in milliseconds. The wait is 0 while a slot is free. */
export const computeSlotWait = ({ inFlight, queuedAhead, limit, meanServiceMs }: SlotWaitInput): number =>
    Math.max(0, inFlight + queuedAhead + 1 - limit) * meanServiceMs / Math.max(1, limit);

/** Properties of a request that limit its wait for a slot. */
export interface MaxSlotWaitInput {
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    readonly targetLatencyMs: number;
    /** Mean service time of requests of this route, in milliseconds; 0 when unknown. */
    readonly meanServiceMs: number;
}

/**
 * Minimum time from the end of the wait to the deadline or to the target latency, as a multiple of the mean service
 * time.
 */
const serviceTimeMargin = 1.2;
/**
 * Wait that is permitted to a direct request even if it then misses the target latency, as a share of that latency. The
 * request must still be able to meet its deadline.
 */
const minWaitShare = 0.125;

/**
 * Computes how long a request may wait for a slot, in milliseconds. The result is negative if the request cannot meet
 * its deadline. A nested request may wait as long as it can still meet its deadline, since refusing it wastes the work
 * of all its parents. A direct request may usually wait only as long as its answer can meet the target latency, so that
 * it is refused early enough for its caller to act on the refusal.
 */
export const computeMaxSlotWait = (
    { nested, remainingMs, targetLatencyMs, meanServiceMs }: MaxSlotWaitInput,
): number => {
    const deadlineWaitMs = remainingMs - serviceTimeMargin * meanServiceMs;
    if (nested) {
        return deadlineWaitMs;
    }
    const targetWaitMs = Math.max(
        targetLatencyMs - serviceTimeMargin * meanServiceMs,
        minWaitShare * targetLatencyMs,
    );
    return Math.min(deadlineWaitMs, targetWaitMs);
};
