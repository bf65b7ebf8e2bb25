/** The answers of the system's own to requests that it does not run, or that came to no answer. */
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

/** Describes why a request got no slot. */
export const describeRefusal = (reason: RefusalReason): Problem => ({
    status: 503,
    reason,
    outcome: "not-run",
    detail: refusalDetails[reason],
    retryAfterSeconds: refusalRetryAfterSeconds,
});

/** Answer to a request whose time is over before it got a slot. */
export const lateProblem: Problem = {
    status: 504,
    reason: "deadline-exceeded",
    outcome: "not-run",
    detail: "the deadline passed before the request got a slot",
    retryAfterSeconds: refusalRetryAfterSeconds,
};

/** Answer to new work at an instance that is shutting down. */
const leavingProblem: Problem = {
    status: 503,
    reason: "leaving",
    outcome: "not-run",
    detail: "this instance takes no new requests",
    retryAfterSeconds: drainRetryAfterSeconds,
};

/**
 * Answer to a new key at a node that has been paused and can't know yet whether it was replaced meanwhile.
 * A replacement may have run the request, so that nothing is claimed of it.
 */
export const unsureHomeProblem: Problem = {
    status: 503,
    reason: "unsure-home",
    outcome: "may-have-run",
    detail: "this instance has been paused or replaced, and must not run requests with new keys",
    retryAfterSeconds: refusalRetryAfterSeconds,
};

/** Answer to a request during which upstreams have died. */
export const quarantinedProblem: Problem = {
    status: 503,
    reason: "quarantined",
    outcome: "not-run",
    detail: "upstreams have died during this request; it is not run for the time being",
    retryAfterSeconds: quarantineRetryAfterSeconds,
};

/** Creates the answer to an action that would fail for lack of room deep inside. */
const createShedProblem = (match: RouteMatch, shedder: Shedder): Problem => {
    const share = shedder.getAdmissionProbability(match.route.name);
    return {
        status: 503,
        reason: "shed",
        outcome: "not-run",
        detail: `calls that ${match.route.name} needs are being refused; ${Math.round(share * 100)}% of it is let in`,
        retryAfterSeconds: Math.min(maxShedRetryAfterSeconds, Math.ceil(1 / share)),
    };
};

/** What decides whether a node takes new work. */
export interface EntryDependencies {
    readonly shedder: Shedder;
    readonly isDraining: () => boolean;
}

/**
 * Finds the reason for which a request is not let in at all; undefined when it is.
 * Calls within an action that is under way are never shed.
 */
export const findEntryRefusal = (
    call: Call,
    match: RouteMatch,
    dependencies: EntryDependencies,
): Problem | undefined => {
    if (dependencies.isDraining()) {
        return leavingProblem;
    }
    const canBegin = call.depth > 0 || dependencies.shedder.canAdmit(match.route.name, call.importance, call.action);
    return canBegin ? undefined : createShedProblem(match, dependencies.shedder);
};

/** Describes an attempt that came to no answer. */
export const describeBreak = (cause: Exclude<FailureCause, "cancelled">, outcome: Outcome): Problem => {
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
