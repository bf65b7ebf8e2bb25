/** Problems for requests that a node refuses, or that got no complete answer from the local upstream. */
import {
    drainRetryAfterSeconds,
    maxShedRetryAfterSeconds,
    quarantineRetryAfterSeconds,
    refusalRetryAfterSeconds,
} from "../../constants";
import { type Outcome } from "../../types";
import { type FailureCause } from "../_lib/attempt";
import { createBodyTooLargeProblem, type Problem } from "../_lib/problem";
import { type RefusalReason } from "../admission";
import { type Shedder } from "../shedder";
import { type Call, type RouteMatch } from "../types";

const refusalDetails: Readonly<Record<RefusalReason, string>> = {
    overloaded: "all slots and places in the queue are taken",
    displaced: "a more important request came while the queue was full",
    "queue-timeout": "no slot came free in time",
};

/** Creates the problem for a request that admission control has refused. */
export const describeRefusal = (reason: RefusalReason): Problem => ({
    status: 503,
    reason,
    outcome: "not-run",
    detail: refusalDetails[reason],
    retryAfterSeconds: refusalRetryAfterSeconds,
});

/** Problem for a request whose deadline passed before it was sent to the upstream. */
export const deadlineExceededProblem: Problem = {
    status: 504,
    reason: "deadline-exceeded",
    outcome: "not-run",
    detail: "the deadline passed before the request got a slot",
    retryAfterSeconds: refusalRetryAfterSeconds,
};

/** Problem for a new request to an instance that is shutting down. */
const leavingProblem: Problem = {
    status: 503,
    reason: "leaving",
    outcome: "not-run",
    detail: "this instance takes no new requests",
    retryAfterSeconds: drainRetryAfterSeconds,
};

/**
 * Problem for a request with a new key at a node that was replaced, or may have been replaced while it was paused.
 * The replacement may have run the request, so the outcome is "may-have-run".
 */
export const unsureHomeProblem: Problem = {
    status: 503,
    reason: "unsure-home",
    outcome: "may-have-run",
    detail: "this instance has been paused or replaced, and must not run requests with new keys",
    retryAfterSeconds: refusalRetryAfterSeconds,
};

/** Problem for a quarantined request, that is, one during which upstreams have crashed. */
export const quarantinedProblem: Problem = {
    status: 503,
    reason: "quarantined",
    outcome: "not-run",
    detail: "upstreams have died during this request; it is not run for the time being",
    retryAfterSeconds: quarantineRetryAfterSeconds,
};

/** Creates the problem for a new action that is shed; the lower the admission probability, the later the retry. */
const createShedProblem = (match: RouteMatch, shedder: Shedder): Problem => {
    const probability = shedder.readAdmissionProbability(match.route.name);
    return {
        status: 503,
        reason: "shed",
        outcome: "not-run",
        detail: `calls that ${match.route.name} needs are being refused; ${
            Math.round(probability * 100)
        }% of it is let in`,
        retryAfterSeconds: Math.min(maxShedRetryAfterSeconds, Math.ceil(1 / probability)),
    };
};

export interface EntryRefusalDependencies {
    readonly shedder: Shedder;
    readonly isDraining: () => boolean;
}

/**
 * Returns the problem for a request that is refused before it is queued, because the node is draining or the action is
 * shed; returns undefined if the request isn't refused.
 * Nested calls are never shed, since their action is already running.
 */
export const findEntryRefusal = (
    call: Call,
    match: RouteMatch,
    dependencies: EntryRefusalDependencies,
): Problem | undefined => {
    if (dependencies.isDraining()) {
        return leavingProblem;
    }
    const isAdmitted = call.depth > 0 || dependencies.shedder.canAdmit(match.route.name, call.importance, call.action);
    return isAdmitted ? undefined : createShedProblem(match, dependencies.shedder);
};

/** Creates the problem for a request whose attempt at the upstream got no complete answer. */
export const describeFailure = (cause: Exclude<FailureCause, "cancelled">, outcome: Outcome): Problem => {
    if (cause === "timeout") {
        return { status: 504, reason: "deadline-exceeded", outcome, detail: "the upstream did not answer in time" };
    }
    if (cause === "unframed") {
        return {
            status: 502,
            reason: "upstream-unframed",
            outcome,
            detail: "neither a length nor chunks frame the answer",
        };
    }
    if (cause === "body-too-large") {
        return createBodyTooLargeProblem(outcome);
    }
    if (outcome === "not-run") {
        return {
            status: 503,
            reason: "upstream-unreachable",
            outcome,
            detail: "the upstream refused the connection",
            retryAfterSeconds: refusalRetryAfterSeconds,
        };
    }
    return { status: 502, reason: "upstream-broke-off", outcome, detail: "the upstream closed the connection" };
};
