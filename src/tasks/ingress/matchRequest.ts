/** Finds the route and the caller of a received request, and creates its call. */
import { identifyCaller } from "../../decisions/identifyCaller";
import { type Settings } from "../../settings/types";
import { type CallRequest, findRequestHeader } from "../_lib/callRequest";
import { type Clock } from "../_lib/clock";
import { createEntryCall, createPeerCall } from "../_lib/createCall";
import { createNoPolicyProblem, createUnknownRouteProblem, type Problem } from "../_lib/problem";
import { type PolicyTask } from "../policy";
import { type Call, type RouteMatch } from "../types";

/** Kind of the sender of a request; "peer" is another node. */
export type Origin = "caller" | "peer";

/** Received request that matched a route, and the call (identifiers, deadline, retry allowance) created for it. */
export interface IncomingRequest {
    readonly request: CallRequest;
    readonly origin: Origin;
    readonly call: Call;
    readonly match: RouteMatch;
    /** Idempotency key of the request; undefined if the route is idempotent or the request has none. */
    readonly key: string | undefined;
    /** Monotonic time of the request's arrival, in milliseconds. */
    readonly startedAtMs: number;
}

/** Matched request, or the problem to answer if the request is refused. */
export type MatchResult =
    | { readonly kind: "matched"; readonly incoming: IncomingRequest; }
    | { readonly kind: "refused"; readonly problem: Problem; };

export interface MatchDependencies {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly policy: PolicyTask;
    /** Creates a version 7 UUID. */
    readonly createId: () => string;
}

const refuse = (problem: Problem): MatchResult => ({ kind: "refused", problem });

const readIdempotencyKey = (request: CallRequest, match: RouteMatch): string | undefined =>
    match.route.idempotent ? undefined : findRequestHeader(request, "idempotency-key");

const unknownCallerProblem: Problem = {
    status: 401,
    reason: "unknown-caller",
    outcome: "not-run",
    detail: "the Authorization header names no known caller",
};

/**
 * Finds the route of a request and creates its call; identifies the caller of a request that doesn't come from a peer.
 * `sequence` makes the identifier of the call unique at this node.
 */
export const matchRequest = (
    request: CallRequest,
    origin: Origin,
    sequence: number,
    dependencies: MatchDependencies,
): MatchResult => {
    const { settings, clock, policy, createId } = dependencies;
    const startedAtMs = clock.readMonotonicMs();
    if (!policy.inForce) {
        const hasIdempotencyKey = findRequestHeader(request, "idempotency-key") !== undefined;
        return refuse(createNoPolicyProblem(hasIdempotencyKey ? "may-have-run" : "not-run"));
    }
    const match = policy.findRoute(settings.service, request.method, request.url);
    if (!match) {
        return refuse(createUnknownRouteProblem(request.method, settings.service));
    }
    const options = { id: `${settings.endpoint}-${sequence}`, match, clock, createId };
    const { retryLimit } = policy.inForce.policy;
    const key = readIdempotencyKey(request, match);
    if (origin === "peer") {
        const call = createPeerCall(request, retryLimit, options);
        return { kind: "matched", incoming: { request, origin, call, match, key, startedAtMs } };
    }
    const caller = identifyCaller(findRequestHeader(request, "authorization"), settings.callers);
    if (caller === undefined) {
        return refuse(unknownCallerProblem);
    }
    const call = createEntryCall(request, caller, retryLimit, options);
    return { kind: "matched", incoming: { request, origin, call, match, key, startedAtMs } };
};
