import { type Importance } from "../../types";

const criticalRemainingShare = 0.5;

/**
 * Computes how long a request may wait for a slot, in milliseconds.
 * Critical requests precede all others in the queue, so waiting serves them better than failing: a critical request may
 * wait for half of the time until its deadline, which leaves the other half for serving it.
 */
export const computeMaxQueueWait = (importance: Importance, maxWaitMs: number, remainingMs: number): number =>
    importance === "critical" ? Math.max(maxWaitMs, remainingMs * criticalRemainingShare) : maxWaitMs;
