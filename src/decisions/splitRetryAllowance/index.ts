/** How a retry allowance is divided between a call and its child. */
export interface AllowanceSplit {
    /** Retries that go with the child call. */
    readonly granted: number;
    /** Retries that stay with the parent. */
    readonly kept: number;
}

/**
 * Splits the retries that a call has left when it makes a child call.
 * The child gets the larger half, since a retry next to the fault repeats the least work.
 */
export const splitRetryAllowance = (left: number): AllowanceSplit => {
    const granted = Math.ceil(left / 2);
    return { granted, kept: left - granted };
};
