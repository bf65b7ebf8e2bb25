/** Refusals and errors as problem documents (application/problem+json, RFC 9457). */
import { refusalRetryAfterSeconds } from "../../constants";
import { type Outcome } from "../../types";
import { type AnswerHead, type AnswerSink } from "./answerSink";
import { outcomeHeader } from "./headers";

/** Why the node itself answers a request instead of forwarding an answer. */
export type ProblemReason =
    | "bad-request"
    | "unknown-caller"
    | "unknown-key"
    | "unproven-key"
    | "orphaned-call"
    | "quota-exceeded"
    | "quota-unsure"
    | "unknown-route"
    | "unknown-service"
    | "no-policy"
    | "body-too-large"
    | "key-mismatch"
    | "key-not-acceptable"
    | "answer-not-kept"
    | "wrong-home"
    | "overloaded"
    | "shed"
    | "quarantined"
    | "unsure-home"
    | "displaced"
    | "queue-timeout"
    | "deadline-exceeded"
    | "leaving"
    | "no-instance"
    | "key-table-full"
    | "upstream-unreachable"
    | "upstream-broke-off"
    | "upstream-unframed";

/** Refusal or error that the node itself sends as the answer to a request. */
export interface Problem {
    readonly status: number;
    readonly reason: ProblemReason;
    readonly outcome: Outcome;
    readonly detail: string;
    /** Delay before the caller may retry, in seconds; undefined if the answer gets no Retry-After header. */
    readonly retryAfterSeconds?: number;
}

const titles: Readonly<Record<ProblemReason, string>> = {
    "bad-request": "The request is not usable",
    "unknown-caller": "The caller is not known",
    "unknown-key": "The key is not known",
    "unproven-key": "The instance can't know whether the key is still valid",
    "quota-exceeded": "The organisation has sent more requests than its quota allows",
    "quota-unsure": "The instance can't know whether the organisation is within its quota",
    "orphaned-call": "Nobody waits for the request",
    "unknown-route": "The policy has no such route",
    "unknown-service": "The policy has no such service",
    "no-policy": "No policy is in force yet",
    "body-too-large": "The request body is too large",
    "key-mismatch": "The idempotency key belongs to another request",
    "key-not-acceptable": "The idempotency key can't be accepted",
    "answer-not-kept": "The request has been completed, but its answer is no longer kept",
    "wrong-home": "The request belongs to another instance",
    overloaded: "There is no room for the request",
    "unsure-home": "The instance can't know whether it has been replaced",
    quarantined: "Upstreams have died during this request",
    shed: "What the request needs further on is overloaded",
    displaced: "A more important request took the place in the queue",
    "queue-timeout": "The request waited too long for a slot",
    "deadline-exceeded": "The time for the request is over",
    leaving: "The instance is shutting down",
    "no-instance": "No instance can take the request",
    "key-table-full": "There is no room to record the request",
    "upstream-unreachable": "The upstream does not accept connections",
    "upstream-broke-off": "The upstream broke off its answer",
    "upstream-unframed": "The upstream's answer has no length, so that it can't be told whether it is whole",
};

/** Creates the problem for a request that arrives before the node has adopted a policy. */
export const createNoPolicyProblem = (outcome: Outcome): Problem => ({
    status: 503,
    reason: "no-policy",
    outcome,
    detail: "this node has not read a policy yet",
    retryAfterSeconds: refusalRetryAfterSeconds,
});

/** Creates the problem for a request that matches no route of its service. */
export const createUnknownRouteProblem = (method: string, service: string): Problem => ({
    status: 404,
    reason: "unknown-route",
    outcome: "not-run",
    detail: `${method} is not declared for this path of ${service}`,
});

/** Creates the problem for a request whose streamed body exceeded the size limit while it was being forwarded. */
export const createBodyTooLargeProblem = (outcome: Outcome): Problem => ({
    status: 413,
    reason: "body-too-large",
    outcome,
    detail: "the body grew past the bound while it was sent on",
});

/** Serialized problem: head and body of the answer. */
export interface ProblemAnswer {
    readonly head: AnswerHead;
    readonly body: Buffer;
}

/** Serializes a problem as JSON and appends `extraHeaders`, a flat list of names and values, to its headers. */
export const renderProblem = (problem: Problem, extraHeaders: readonly string[] = []): ProblemAnswer => {
    const document = {
        type: `urn:pomelovalve:${problem.reason}`,
        title: titles[problem.reason],
        status: problem.status,
        detail: problem.detail,
        outcome: problem.outcome,
        retryAfterSeconds: problem.retryAfterSeconds,
    };
    const body = Buffer.from(JSON.stringify(document));
    const rawHeaders = [
        "Content-Type",
        "application/problem+json",
        "Content-Length",
        String(body.length),
        outcomeHeader,
        problem.outcome,
        ...(problem.retryAfterSeconds === undefined ? [] : ["Retry-After", String(problem.retryAfterSeconds)]),
        ...extraHeaders,
    ];
    return { head: { status: problem.status, rawHeaders }, body };
};

/** Writes a problem to a sink as a complete answer. */
export const sendProblem = (sink: AnswerSink, problem: Problem, extraHeaders: readonly string[] = []): void => {
    const answer = renderProblem(problem, extraHeaders);
    sink.start(answer.head);
    sink.write(answer.body);
    sink.end();
};
