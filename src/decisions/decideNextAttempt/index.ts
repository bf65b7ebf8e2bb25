import { firstServerErrorStatus } from "../../constants";
import { type HopResult } from "../../relay/types";

/** What a repeat of a request depends on. */
export interface NextAttemptInput {
    readonly result: HopResult;
    readonly idempotent: boolean;
    /** Upstreams that the request has been sent to. */
    readonly upstreamsTried: number;
    readonly maxUpstreams: number;
    /** Places that have said that they did not run it, without its reaching an upstream. */
    readonly refusals: number;
    /** Milliseconds until nobody waits for the answer any more. */
    readonly remainingMs: number;
    /** Time in which an answer can be expected, in milliseconds. */
    readonly expectedMs: number;
}

/** What to do after an attempt. */
export type NextAttempt =
    /** Pass the result on. */
    | "give-up"
    /** Try elsewhere; the request has not reached an upstream, so that nothing is repeated. */
    | "reroute"
    /** Send to a second upstream, if the allowance permits. */
    | "retry";

/** Nodes that may refuse one request before the caller is told so. */
const maxRefusals = 3;

/** Whether a request has come to no upstream, so that sending it elsewhere repeats nothing. */
export const isReroutable = (result: HopResult): boolean =>
    result.kind === "not-run" && result.reason !== "rejected" && result.reason !== "moved";

/** Decides what follows an attempt: a request is sent again only when that can neither run it twice nor be in vain. */
export const decideNextAttempt = (input: NextAttemptInput): NextAttempt => {
    const { result, idempotent, upstreamsTried, maxUpstreams, refusals, remainingMs, expectedMs } = input;
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
        return refusals < maxRefusals ? "reroute" : "give-up";
    }
    if (result.kind !== "not-run" && !idempotent) {
        return "give-up";
    }
    return upstreamsTried < maxUpstreams ? "retry" : "give-up";
};
