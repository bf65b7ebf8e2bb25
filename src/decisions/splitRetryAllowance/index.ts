/** Retries left for a call, divided between it and one of its nested calls. */
export interface AllowanceSplit {
    /** Retries that the nested call gets. */
    readonly granted: number;
    /** Retries that the call itself keeps. */
    readonly kept: number;
}

/**
 * Splits the retries that a call has left when it makes a nested call. The nested call gets half of them, rounded up,
 * since a retry close to the fault repeats the least work.
 */
export const splitRetryAllowance = (retriesLeft: number): AllowanceSplit => {
    const granted = Math.ceil(retriesLeft / 2);
    return { granted, kept: retriesLeft - granted };
};
