import { validate, version } from "uuid";
import { actionFreshnessMs } from "../../constants";
import { mergeImportance, parseImportance } from "../../decisions/mergeImportance";
import { parseRemainingMs } from "../../decisions/parseRemainingMs";
import { type Call, type RouteMatch } from "../types";
import { type CallRequest, findRequestHeader } from "./callRequest";
import { type Clock } from "./clock";
import { actionHeader, callerHeader, deadlineHeader, depthHeader, importanceHeader, retriesHeader } from "./headers";

/** Length of the millisecond timestamp at the start of a UUID of version 7, in hexadecimal digits. */
const timestampHexDigits = 12;

/** Whether a text is a UUID of version 7. */
const isActionId = (text: string | undefined): text is string =>
    text !== undefined && validate(text) && version(text) === 7;

/** Parses the depth of a call from another node; a call without a valid depth counts as nested, at depth 1. */
const parseDepth = (text: string | undefined): number => {
    const depth = Number(text ?? 1);
    return Number.isInteger(depth) && depth >= 0 ? depth : 1;
};

/** Computes the age of an action from the timestamp in its identifier, in milliseconds. */
const computeAgeMs = (action: string, clock: Clock): number =>
    clock.readWallMs() - Number.parseInt(action.replaceAll("-", "").slice(0, timestampHexDigits), 16);

/** Computes the monotonic time of the deadline, in milliseconds; the route limits the requested one. */
const computeDeadline = (request: CallRequest, match: RouteMatch, clock: Clock): number => {
    const requestedMs = parseRemainingMs(findRequestHeader(request, deadlineHeader));
    return clock.readMonotonicMs() + Math.min(match.route.deadlineMs, requestedMs ?? match.route.deadlineMs);
};

/** Options for creating a call. */
export interface CallOptions {
    readonly id: string;
    readonly match: RouteMatch;
    readonly clock: Clock;
    /** Creates a UUID of version 7. */
    readonly createId: () => string;
}

/**
 * Creates the call of a request from a caller, which starts an action or retries it.
 * Retries are granted only if the action's identifier was created just now, so that a caller's own retry gets none.
 */
export const createEntryCall = (
    request: CallRequest,
    caller: string,
    retryLimit: number,
    options: CallOptions,
): Call => {
    const { id, match, clock, createId } = options;
    const receivedActionId = findRequestHeader(request, actionHeader);
    const action = isActionId(receivedActionId) ? receivedActionId : createId();
    const isFresh = Math.abs(computeAgeMs(action, clock)) <= actionFreshnessMs;
    return {
        id,
        action,
        caller,
        importance: match.route.importance,
        deadlineAtMs: computeDeadline(request, match, clock),
        depth: 0,
        retryAllowance: isFresh ? retryLimit : 0,
    };
};

/** Creates the call of a request from another node, whose headers are trusted within the policy's bounds. */
export const createPeerCall = (request: CallRequest, retryLimit: number, options: CallOptions): Call => {
    const { id, match, clock, createId } = options;
    const receivedActionId = findRequestHeader(request, actionHeader);
    const retries = Number(findRequestHeader(request, retriesHeader) ?? 0);
    const inheritedImportance = parseImportance(findRequestHeader(request, importanceHeader));
    return {
        id,
        action: isActionId(receivedActionId) ? receivedActionId : createId(),
        caller: findRequestHeader(request, callerHeader) ?? "anonymous",
        importance: mergeImportance(inheritedImportance, match.route.importance),
        deadlineAtMs: computeDeadline(request, match, clock),
        depth: parseDepth(findRequestHeader(request, depthHeader)),
        retryAllowance: Number.isInteger(retries) ? Math.min(retryLimit, Math.max(0, retries)) : 0,
    };
};
