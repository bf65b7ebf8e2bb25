/** Headers that nodes exchange with a forwarded call, and problems for calls that got no complete answer. */
import { refusalRetryAfterSeconds } from "../../constants";
import { type AttemptOutcome } from "../../decisions/decideRetry";
import { type Outcome } from "../../types";
import { type AnswerHead } from "../_lib/answerSink";
import { type FailureCause } from "../_lib/attempt";
import {
    actionHeader,
    callerHeader,
    deadlineHeader,
    depthHeader,
    findHeader,
    importanceHeader,
    nodeHeader,
    noHeaders,
    outcomeHeader,
    retriesHeader,
    stripHeaders,
} from "../_lib/headers";
import { createBodyTooLargeProblem, type Problem } from "../_lib/problem";
import { type ForwardRequest } from "./forwardedCall";

const outcomes: ReadonlySet<string> = new Set(["completed", "not-run", "may-have-run", "failed"]);

/** Reads the outcome that the answer of another node states; returns "may-have-run" if it states none. */
export const readOutcome = (head: AnswerHead): Outcome => {
    const stated = findHeader(head.rawHeaders, outcomeHeader);
    return stated !== undefined && outcomes.has(stated) ? stated as Outcome : "may-have-run";
};

/** Outcome of an attempt by the outcome that its answer states. */
export const attemptOutcomeByOutcome: Readonly<Record<Outcome, AttemptOutcome>> = {
    completed: "completed",
    "not-run": "not-run",
    "may-have-run": "unknown",
    failed: "failed",
};

/** Parses a count from a header value; returns 0 if it is missing or not a positive integer. */
export const parseCount = (text: string | undefined): number => {
    const value = Number(text ?? 0);
    return Number.isInteger(value) && value > 0 ? value : 0;
};

/** Parses a load from a header value; returns undefined if it is missing or not between 0 and 1. */
export const parseLoad = (text: string | undefined): number | undefined => {
    const value = Number(text);
    return text !== undefined && value >= 0 && value <= 1 ? value : undefined;
};

/** Values of the request headers that an attempt doesn't take from its `ForwardRequest`. */
export interface AttemptOptions {
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Number of retries that the target may use. */
    readonly grantedRetries: number;
    /** Endpoint of the forwarding node. */
    readonly endpoint: string;
}

/** Creates the request headers of an attempt; a call nested in the charged one is one level deeper. */
export const createRequestHeaders = (request: ForwardRequest, options: AttemptOptions): string[] => [
    ...request.rawHeaders,
    "host",
    request.service,
    actionHeader,
    request.chargedCall.action,
    callerHeader,
    request.chargedCall.caller,
    importanceHeader,
    request.importance,
    deadlineHeader,
    String(Math.floor(options.remainingMs)),
    nodeHeader,
    options.endpoint,
    retriesHeader,
    String(options.grantedRetries),
    depthHeader,
    String(request.isChargedCall ? request.chargedCall.depth : request.chargedCall.depth + 1),
];

/** Creates the headers of a forwarded answer: its end-to-end headers, the outcome and the action. */
export const createAnswerHeaders = (head: AnswerHead, outcome: Outcome, action: string): string[] => [
    ...stripHeaders(head.rawHeaders, noHeaders),
    outcomeHeader,
    outcome,
    actionHeader,
    action,
];

/** Creates the problem for a call whose last attempt, to `endpoint`, got no complete answer. */
export const describeFailure = (cause: FailureCause, outcome: Outcome, endpoint: string): Problem => {
    if (cause === "timeout") {
        return {
            status: 504,
            reason: "deadline-exceeded",
            outcome,
            detail: "the deadline passed before an answer came",
        };
    }
    if (cause === "body-too-large") {
        return createBodyTooLargeProblem(outcome);
    }
    const isUnsent = outcome === "not-run";
    return {
        status: isUnsent ? 503 : 502,
        reason: isUnsent ? "no-instance" : "upstream-broke-off",
        outcome,
        detail: `the connection to ${endpoint} failed`,
        retryAfterSeconds: refusalRetryAfterSeconds,
    };
};

/**
 * Creates the problem for a call without a target: its home is not in the instance list or, without a home, every
 * instance in the list is leaving or has been tried.
 */
export const describeNoInstance = (request: ForwardRequest, outcome: Outcome): Problem => ({
    status: 503,
    reason: "no-instance",
    outcome,
    detail: request.home === undefined
        ? `no instance of ${request.service} is known`
        : `${request.home}, where this key runs, is not known`,
    retryAfterSeconds: refusalRetryAfterSeconds,
});
