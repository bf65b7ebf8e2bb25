/** What a forwarded call tells the next node, and what it reads from the answer. */
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
import { createGrownBodyProblem, type Problem } from "../_lib/problem";
import { type ForwardOrder } from "./forwardedCall";

const outcomes: ReadonlySet<string> = new Set(["completed", "not-run", "may-have-run", "failed"]);

/** Reads the outcome that a node states; an answer without one may have run. */
export const readOutcome = (head: AnswerHead): Outcome => {
    const stated = findHeader(head.rawHeaders, outcomeHeader);
    return stated !== undefined && outcomes.has(stated) ? stated as Outcome : "may-have-run";
};

/** How an attempt ended, by the outcome that was told. */
export const endByOutcome: Readonly<Record<Outcome, AttemptOutcome>> = {
    completed: "completed",
    "not-run": "not-run",
    "may-have-run": "unknown",
    failed: "failed",
};

/** Reads a count from a header; anything else is 0. */
export const readCount = (text: string | undefined): number => {
    const value = Number(text ?? 0);
    return Number.isInteger(value) && value > 0 ? value : 0;
};

/** Reads a load between 0 and 1 from a header. */
export const readLoad = (text: string | undefined): number | undefined => {
    const value = Number(text);
    return text !== undefined && value >= 0 && value <= 1 ? value : undefined;
};

/** What changes from one attempt of a call to the next. */
export interface AttemptTerms {
    readonly remainingMs: number;
    readonly retries: number;
    /** Endpoint of the node that forwards. */
    readonly node: string;
}

/** Creates the headers of a request to another node. */
export const createRequestHeaders = (order: ForwardOrder, terms: AttemptTerms): string[] => [
    ...order.rawHeaders,
    "host",
    order.service,
    actionHeader,
    order.payer.action,
    callerHeader,
    order.payer.caller,
    importanceHeader,
    order.importance,
    deadlineHeader,
    String(Math.floor(terms.remainingMs)),
    nodeHeader,
    terms.node,
    retriesHeader,
    String(terms.retries),
    depthHeader,
    String(order.inPlaceOfPayer ? order.payer.depth : order.payer.depth + 1),
];

/** Creates the headers of the answer that is passed on. */
export const createAnswerHeaders = (head: AnswerHead, outcome: Outcome, action: string): string[] => [
    ...stripHeaders(head.rawHeaders, noHeaders),
    outcomeHeader,
    outcome,
    actionHeader,
    action,
];

/** Describes an attempt that came to no whole answer. */
export const describeBreak = (cause: FailureCause, outcome: Outcome, endpoint: string): Problem => {
    if (cause === "timeout") {
        return {
            status: 504,
            reason: "deadline-exceeded",
            outcome,
            detail: "the deadline passed before an answer came",
        };
    }
    if (cause === "body-too-large") {
        return createGrownBodyProblem(outcome);
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

/** Describes a call for which no instance is known. */
export const describeNoInstance = (order: ForwardOrder, outcome: Outcome): Problem => ({
    status: 503,
    reason: "no-instance",
    outcome,
    detail: order.home === undefined
        ? `no instance of ${order.service} is known`
        : `${order.home}, where this key runs, is not known`,
    retryAfterSeconds: refusalRetryAfterSeconds,
});
