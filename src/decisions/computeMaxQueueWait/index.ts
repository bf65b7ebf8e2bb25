import { type Importance } from "../../types";

/** Share of the time until the deadline for which a critical request may wait; the rest is for serving it. */
const criticalRemainingShare = 0.5;

/**
 * Computes how long a request may wait for a slot, in milliseconds. A critical request may wait for half of the time
 * until its deadline if that is longer than `maxWaitMs`: critical requests precede all others in the queue, so waiting
 * serves them better than failing.
 */
export const computeMaxQueueWait = (importance: Importance, maxWaitMs: number, remainingMs: number): number =>
    importance === "critical" ? Math.max(maxWaitMs, remainingMs * criticalRemainingShare) : maxWaitMs;
