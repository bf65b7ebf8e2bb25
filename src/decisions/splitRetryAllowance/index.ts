/** Division of a retry allowance between a call and a nested call. */
export interface AllowanceSplit {
    /** Retries that the nested call gets. */
    readonly granted: number;
    /** Retries that its parent keeps. */
    readonly kept: number;
}

/**
 * Splits the retries that a call has left when it makes a nested call.
 * The nested call gets the larger half, since a retry close to the fault repeats the least work.
 */
export const splitRetryAllowance = (retriesLeft: number): AllowanceSplit => {
    const granted = Math.ceil(retriesLeft / 2);
    return { granted, kept: retriesLeft - granted };
};
