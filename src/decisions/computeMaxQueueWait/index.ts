import { type Importance } from "../../types";

const criticalRemainingShare = 0.5;

/**
 * Computes how long a request may wait for a slot.
 * A critical request goes before all others, so that the time is better spent waiting than failing:
 * it may use half of what remains until its deadline and leaves the other half for the work itself.
 */
export const computeMaxQueueWait = (importance: Importance, maxWaitMs: number, remainingMs: number): number =>
    importance === "critical" ? Math.max(maxWaitMs, remainingMs * criticalRemainingShare) : maxWaitMs;
