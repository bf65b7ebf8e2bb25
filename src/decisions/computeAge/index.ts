import { type Instant } from "../../types";

/**
 * Computes how long ago an instant was at most, in milliseconds. The monotonic clock stands still while a machine is
 * suspended and the wall clock may be set back, so the longer of the two times counts.
 */
export const computeAge = (instant: Instant, now: Instant): number =>
    Math.max(now.monotonicMs - instant.monotonicMs, now.wallMs - instant.wallMs, 0);
