import { firstServerErrorStatus } from "../../constants";
import { type HopResult } from "../../relay/types";

/** Input of `decideNextAttempt`. */
export interface NextAttemptInput {
    /** Result of the last attempt. */
    readonly result: HopResult;
    readonly idempotent: boolean;
    /** Upstreams that have received the request. */
    readonly upstreamsTried: number;
    readonly maxUpstreams: number;
    /** Nodes that have refused the request before it reached an upstream. */
    readonly unreachedCount: number;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Time in which another attempt is expected to be answered, in milliseconds. */
    readonly expectedMs: number;
}

/** Decision after an attempt. */
export type NextAttemptDecision =
    /** Forward the result to the caller. */
    | "give-up"
    /** Send the request to another node. It has not reached an upstream, so this is not a retry. */
    | "reroute"
    /** Send the request to another upstream, if the retry budget permits. */
    | "retry";

/** Nodes that may refuse a request before the refusal is forwarded to the caller. */
const maxUnreachedCount = 3;

/** Returns whether a request has reached no upstream, so that sending it to another node is not a retry. */
export const isReroutable = (result: HopResult): boolean =>
    result.kind === "not-run" && result.reason !== "rejected" && result.reason !== "moved";

/**
 * Decides what follows an attempt. A request is sent again only if that cannot run a non-idempotent request twice and
 * has a chance of success before the deadline.
 */
export const decideNextAttempt = (input: NextAttemptInput): NextAttemptDecision => {
    const { result, idempotent, upstreamsTried, maxUpstreams, unreachedCount, remainingMs, expectedMs } = input;
    if (result.kind === "answered" && (result.head.status < firstServerErrorStatus || result.nestedCallRefused)) {
        return "give-up";
    }
    if (result.kind === "not-run" && (result.reason === "expired" || result.reason === "quarantined")) {
        return "give-up";
    }
    if (remainingMs < expectedMs) {
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
