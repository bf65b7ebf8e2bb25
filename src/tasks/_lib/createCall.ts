import { validate, version } from "uuid";
import { actionFreshnessMs } from "../../constants";
import { mergeImportance, parseImportance } from "../../decisions/mergeImportance";
import { parseDeadline } from "../../decisions/parseDeadline";
import { type Call, type RouteMatch } from "../types";
import { type CallRequest, findRequestHeader } from "./callRequest";
import { type Clock } from "./clock";
import { actionHeader, callerHeader, deadlineHeader, depthHeader, importanceHeader, retriesHeader } from "./headers";

const timestampHexDigits = 12;

const isActionId = (text: string | undefined): text is string =>
    text !== undefined && validate(text) && version(text) === 7;

/** A call from another node that states no depth is taken for one within an action. */
const parseDepth = (text: string | undefined): number => {
    const depth = Number(text ?? 1);
    return Number.isInteger(depth) && depth >= 0 ? depth : 1;
};

const computeAgeMs = (action: string, clock: Clock): number =>
    clock.readWallMs() - Number.parseInt(action.replaceAll("-", "").slice(0, timestampHexDigits), 16);

const computeDeadline = (request: CallRequest, match: RouteMatch, clock: Clock): number => {
    const asked = parseDeadline(findRequestHeader(request, deadlineHeader));
    return clock.readMonotonicMs() + Math.min(match.route.deadlineMs, asked ?? match.route.deadlineMs);
};

/** What a call is made from besides its request. */
export interface CallOptions {
    readonly id: string;
    readonly match: RouteMatch;
    readonly clock: Clock;
    /** Mints a UUID of version 7. */
    readonly createId: () => string;
}

/**
 * Creates the call of a request from outside, which begins an action or resends it.
 * Only an action minted just now gets retries, so that a caller's own resend gains none.
 */
export const createEntryCall = (
    request: CallRequest,
    caller: string,
    retryLimit: number,
    options: CallOptions,
): Call => {
    const { id, match, clock, createId } = options;
    const stated = findRequestHeader(request, actionHeader);
    const action = isActionId(stated) ? stated : createId();
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

/** Creates the call of a request from another node, whose statements are trusted within the policy's bounds. */
export const createPeerCall = (request: CallRequest, retryLimit: number, options: CallOptions): Call => {
    const { id, match, clock, createId } = options;
    const stated = findRequestHeader(request, actionHeader);
    const retries = Number(findRequestHeader(request, retriesHeader) ?? 0);
    const inherited = parseImportance(findRequestHeader(request, importanceHeader));
    return {
        id,
        action: isActionId(stated) ? stated : createId(),
        caller: findRequestHeader(request, callerHeader) ?? "anonymous",
        importance: mergeImportance(inherited, match.route.importance),
        deadlineAtMs: computeDeadline(request, match, clock),
        depth: parseDepth(findRequestHeader(request, depthHeader)),
        retryAllowance: Number.isInteger(retries) ? Math.min(retryLimit, Math.max(0, retries)) : 0,
    };
};
