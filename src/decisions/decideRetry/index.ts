import { minForwardMs } from "../../constants";

/**
 * Outcome of one attempt of a call. "not-run": the request was refused before it ran; "failed": it ran and failed;
 * "unsent": the connection failed before the request was sent; "unknown": the request may have run.
 */
export type AttemptOutcome = "completed" | "not-run" | "failed" | "unsent" | "unknown";

/** Result of an attempt, and the conditions for a retry. */
export interface RetryInput {
    readonly outcome: AttemptOutcome;
    /** Whether a retry is safe: the request is idempotent, or its home detects duplicates by their key. */
    readonly retryable: boolean;
    /** Whether the request's home records its outcome, so that a failure there is final. */
    readonly outcomeRecorded: boolean;
    /** Whether a nested call was refused for lack of capacity, so that a retry would be refused again. */
    readonly nestedCallRefused: boolean;
    /** Whether the request has no body or its complete body is in memory. */
    readonly replayable: boolean;
    /** Retries left for this call. */
    readonly retriesLeft: number;
    /**
     * Number of instances with free capacity that this call has not tried. If only its home may run the request, the
     * home counts even if it was tried.
     */
    readonly candidateCount: number;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Wait before the retry, in milliseconds. */
    readonly backoffMs: number;
}

/** Decides whether a call is retried after an attempt. */
export const decideRetry = (input: RetryInput): boolean => {
    if (input.outcome === "completed" || input.retriesLeft < 1 || !input.replayable) {
        return false;
    }
    if (input.nestedCallRefused || input.outcomeRecorded && input.outcome === "failed") {
        return false;
    }
    const mayHaveRun = input.outcome === "failed" || input.outcome === "unknown";
    if (mayHaveRun && !input.retryable) {
        return false;
    }
    return input.candidateCount > 0 && input.remainingMs > input.backoffMs + minForwardMs;
};
