import { validate, version } from "uuid";
import { actionFreshnessMs } from "../../constants";
import { mergeImportance, parseImportance } from "../../decisions/mergeImportance";
import { parseRemainingMs } from "../../decisions/parseRemainingMs";
import { type Call, type RouteMatch } from "../types";
import { type CallRequest, findRequestHeader } from "./callRequest";
import { type Clock } from "./clock";
import { actionHeader, callerHeader, deadlineHeader, depthHeader, importanceHeader, retriesHeader } from "./headers";

/** Hexadecimal digits of the timestamp at the start of a version 7 UUID. */
const timestampHexDigits = 12;

const isActionId = (text: string | undefined): text is string =>
    text !== undefined && validate(text) && version(text) === 7;

/** Parses the depth of a call from another node; returns 1, for a nested call, if it is missing or invalid. */
const parseDepth = (text: string | undefined): number => {
    const depth = Number(text ?? 1);
    return Number.isInteger(depth) && depth >= 0 ? depth : 1;
};

/** Computes the age of an action in milliseconds; it is negative if the identifier's timestamp is in the future. */
const computeActionAgeMs = (action: string, clock: Clock): number =>
    clock.readWallMs() - Number.parseInt(action.replaceAll("-", "").slice(0, timestampHexDigits), 16);

/** Computes the deadline as a monotonic time, in milliseconds; a request can only shorten the route's deadline. */
const computeDeadlineAtMs = (request: CallRequest, match: RouteMatch, clock: Clock): number => {
    const requestedDeadlineMs = parseRemainingMs(findRequestHeader(request, deadlineHeader));
    return clock.readMonotonicMs() + Math.min(match.route.deadlineMs, requestedDeadlineMs ?? match.route.deadlineMs);
};

/** Identifier and route of the call to be created, and the sources of time and identifiers. */
export interface CallOptions {
    readonly id: string;
    readonly match: RouteMatch;
    readonly clock: Clock;
    /** Creates a version 7 UUID. */
    readonly createId: () => string;
}

/**
 * Creates the call for a request from a caller, which starts an action or retries it.
 * The call gets retries only if its action identifier was created within `actionFreshnessMs`, so that a retry by the
 * caller itself gets none.
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
    const isFresh = Math.abs(computeActionAgeMs(action, clock)) <= actionFreshnessMs;
    return {
        id,
        action,
        caller,
        importance: match.route.importance,
        deadlineAtMs: computeDeadlineAtMs(request, match, clock),
        depth: 0,
        retryAllowance: isFresh ? retryLimit : 0,
    };
};

/**
 * Creates the call for a request from another node, whose headers are trusted.
 * The route still bounds the deadline, and `retryLimit` the retries.
 */
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
        deadlineAtMs: computeDeadlineAtMs(request, match, clock),
        depth: parseDepth(findRequestHeader(request, depthHeader)),
        retryAllowance: Number.isInteger(retries) ? Math.min(retryLimit, Math.max(0, retries)) : 0,
    };
};
