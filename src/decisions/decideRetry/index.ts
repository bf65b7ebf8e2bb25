import { minForwardMs } from "../../constants";

/** How one attempt of a call ended, as far as retrying is concerned. */
export type AttemptOutcome = "completed" | "not-run" | "failed" | "unsent" | "unknown";

/** What a retry decision rests on. */
export interface RetryInput {
    readonly outcome: AttemptOutcome;
    /** Whether repeating the request does no harm: it is idempotent, or its home removes repetitions by key. */
    readonly retryable: boolean;
    /** Whether the request's home keeps its outcome, so that a failure there is final. */
    readonly recorded: boolean;
    /** Whether the failure comes from a refusal for lack of room further on, which a repetition would only meet again. */
    readonly nestedCallRefused: boolean;
    /** Whether the request's body is still at hand. */
    readonly replayable: boolean;
    /** Retries left for this call. */
    readonly retriesLeft: number;
    /** Instances with room that this call has not tried yet, or the home if only it may run the request. */
    readonly candidateCount: number;
    readonly remainingMs: number;
    /** Wait before the retry, in milliseconds. */
    readonly backoffMs: number;
}

/** Decides whether a call is tried again; the reasons against it are checked from the cheapest on. */
export const decideRetry = (situation: RetryInput): boolean => {
    if (situation.outcome === "completed" || situation.retriesLeft < 1 || !situation.replayable) {
        return false;
    }
    if (situation.nestedCallRefused || situation.recorded && situation.outcome === "failed") {
        return false;
    }
    const mayHaveRun = situation.outcome === "failed" || situation.outcome === "unknown";
    if (mayHaveRun && !situation.retryable) {
        return false;
    }
    return situation.candidateCount > 0 && situation.remainingMs > situation.backoffMs + minForwardMs;
};
