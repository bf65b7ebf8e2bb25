/** Input of `computeSlotWait`. */
export interface SlotWaitInput {
    readonly inFlight: number;
    /** Queued requests that will get a slot earlier. */
    readonly queuedAhead: number;
    /** Concurrency limit, in requests. */
    readonly limit: number;
    /** Mean service time, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Computes how long a request is expected to wait for a slot, in milliseconds. */
export const computeSlotWait = ({ inFlight, queuedAhead, limit, meanServiceMs }: SlotWaitInput): number =>
    Math.max(0, inFlight + queuedAhead + 1 - limit) * meanServiceMs / Math.max(1, limit);

/** Input of `computeMaxSlotWait`. */
export interface MaxSlotWaitInput {
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    readonly targetLatencyMs: number;
    /** Mean service time of requests of this route, in milliseconds; 0 when unknown. */
    readonly meanServiceMs: number;
}

/** Safety factor on the mean service time. */
const serviceTimeMargin = 1.2;
/** Wait that a direct request may always use while it meets its deadline, as a share of the target latency. */
const minWaitShare = 0.125;

/**
 * Computes how long a request may wait for a slot, in milliseconds. A nested request may wait as long as it can still
 * meet its deadline, since refusing it wastes the work of all its parents. A direct request may wait only as long as
 * its answer can meet the target latency, so that it is refused early enough for its caller to act on the refusal.
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
