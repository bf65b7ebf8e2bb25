import { firstServerErrorStatus } from "../../constants";
import { type HopResult } from "../../relay/types";

/** Result of a request's last attempt, and the conditions for another one. */
export interface NextAttemptInput {
    readonly result: HopResult;
    readonly idempotent: boolean;
    /** Number of upstreams that may have received the request, including those that have not answered yet. */
    readonly upstreamsTried: number;
    readonly maxUpstreams: number;
    /** Number of attempts that did not reach an upstream, for example because the node refused the request. */
    readonly unreachedCount: number;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Expected time until another attempt is answered, in milliseconds. */
    readonly expectedAnswerMs: number;
}

/** Decision after an attempt. */
export type NextAttemptDecision =
    /** Make no further attempt; the result goes to the caller unless another attempt is still running. */
    | "give-up"
    /** Send the request to another node. It has not reached an upstream, so this is not a retry. */
    | "reroute"
    /** Send the request to another upstream, if the retry budget permits. */
    | "retry";

/** Number of attempts that may fail to reach an upstream before the request is given up. */
const maxUnreachedCount = 3;

/** Returns whether an attempt did not reach its upstream, so that another attempt elsewhere is not a retry. */
export const isReroutable = (result: HopResult): boolean =>
    result.kind === "not-run" && result.reason !== "rejected" && result.reason !== "moved";

/**
 * Decides whether a request gets another attempt. It gets one only if this cannot run a non-idempotent request twice,
 * and can succeed before the deadline.
 */
export const decideNextAttempt = (input: NextAttemptInput): NextAttemptDecision => {
    const { result, idempotent, upstreamsTried, maxUpstreams, unreachedCount, remainingMs, expectedAnswerMs } = input;
    if (result.kind === "answered" && (result.head.status < firstServerErrorStatus || result.nestedCallRefused)) {
        return "give-up";
    }
    if (result.kind === "not-run" && (result.reason === "expired" || result.reason === "quarantined")) {
        return "give-up";
    }
    if (remainingMs < expectedAnswerMs) {
        return "give-up";
    }
    if (isReroutable(result)) {
        return unreachedCount < maxUnreachedCount ? "reroute" : "give-up";
    }
    if (result.kind !== "not-run" && !idempotent) {
        return "give-up";
    }
    return upstreamsTried < maxUpstreams ? "retry" : "give-up";
};
