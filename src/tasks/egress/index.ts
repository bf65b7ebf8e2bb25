/** Forwards the calls of the local upstream to other services. */
import { defaultDeadlineMs } from "../../constants";
import { computeHome } from "../../decisions/computeHome";
import { mergeImportance } from "../../decisions/mergeImportance";
import { parseRemainingMs } from "../../decisions/parseRemainingMs";
import { type Settings } from "../../settings/types";
import { type CallRequest, createForwardHeaders, findRequestHeader } from "../_lib/callRequest";
import { type Clock } from "../_lib/clock";
import { actionHeader, callHeader, deadlineHeader } from "../_lib/headers";
import { createNoPolicyProblem, createUnknownRouteProblem, type Problem, sendProblem } from "../_lib/problem";
import { type RequestBody } from "../_lib/readBody";
import { type CallLedger } from "../callLedger";
import { type Forwarder } from "../forwarder";
import { type PolicyTask } from "../policy";
import { type Call, type RouteMatch } from "../types";

export interface EgressDependencies {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly policy: PolicyTask;
    readonly ledger: CallLedger;
    readonly forwarder: Forwarder;
    /** Creates a version 7 UUID. */
    readonly createId: () => string;
}

/** Service and path that a request of the upstream addresses. */
interface Target {
    readonly service: string;
    readonly path: string;
}

/** Parses the target of a request: an absolute URL, as sent to an HTTP proxy, or a path and a Host header. */
const parseTarget = (request: CallRequest): Target | undefined => {
    const { url } = request;
    if (url.startsWith("/")) {
        const host = findRequestHeader(request, "host") ?? "";
        return { service: host.split(":")[0]!, path: url };
    }
    if (!URL.canParse(url)) {
        return undefined;
    }
    const parsed = new URL(url);
    return { service: parsed.hostname, path: `${parsed.pathname}${parsed.search}` };
};

/** Call of the upstream, with the route of the called service and the body. */
interface MatchedCall {
    readonly request: CallRequest;
    readonly target: Target;
    readonly match: RouteMatch;
    readonly body: RequestBody;
}

/** Forwards each call of the local upstream, or refuses it as not run if no route matches. */
export class Egress {
    private callCount = 0;

    constructor(private readonly dependencies: EgressDependencies) {}

    /** Handles a call of the upstream; the answer goes to the request's sink. */
    handle(request: CallRequest): void {
        const target = parseTarget(request);
        if (!target) {
            refuse(request, { status: 400, reason: "bad-request", detail: "the request names no service" });
            return;
        }
        const { policy } = this.dependencies;
        const match = policy.findRoute(target.service, request.method, target.path);
        if (!match) {
            refuse(request, this.describeNoMatch(target, request.method));
            return;
        }
        const { maxRequestBodyBytes: maxBytes } = this.dependencies.settings;
        request.readBody({ buffered: false, maxBytes }, result => {
            if (result.kind === "body") {
                this.forward({ request, target, match, body: result.body });
                return;
            }
            const isTooLarge = result.kind === "too-large";
            refuse(request, {
                status: isTooLarge ? 413 : 400,
                reason: isTooLarge ? "body-too-large" : "bad-request",
                detail: isTooLarge ? `more than ${maxBytes} bytes` : "the request body broke off",
            });
        });
    }

    private describeNoMatch(target: Target, method: string): Problem {
        const { inForce } = this.dependencies.policy;
        if (!inForce) {
            return createNoPolicyProblem("not-run");
        }
        if (inForce.policy.services[target.service]) {
            return createUnknownRouteProblem(method, target.service);
        }
        const detail = `the policy has no service "${target.service}"`;
        return { status: 404, reason: "unknown-service", outcome: "not-run", detail };
    }

    private forward(matched: MatchedCall): void {
        const { request, match, target, body } = matched;
        const parentCall = this.findParentCall(request);
        const key = readIdempotencyKey(request, match)
            ?? (match.route.idempotent ? undefined : this.dependencies.createId());
        const endpoints = match.servicePolicy.endpoints.map(endpoint => endpoint.name);
        const cancel = this.dependencies.forwarder.forward({
            chargedCall: parentCall,
            isChargedCall: false,
            service: target.service,
            deadlineAtMs: this.computeDeadlineAtMs(request, match, parentCall),
            importance: mergeImportance(parentCall.importance, match.route.importance),
            method: request.method,
            path: target.path,
            rawHeaders: createKeyedHeaders(matched, key),
            body,
            retryable: match.route.idempotent || key !== undefined,
            home: key === undefined ? undefined : computeHome(parentCall.caller, key, endpoints),
            sink: request.sink,
            onFinished: () => undefined,
        });
        request.onEarlyClose(cancel);
    }

    /**
     * Finds the call that the upstream was serving when it made the request.
     * If the request doesn't name a call in progress, creates one of low importance that has no retries.
     */
    private findParentCall(request: CallRequest): Call {
        const found = this.dependencies.ledger.find(findRequestHeader(request, callHeader));
        if (found) {
            return found;
        }
        this.callCount += 1;
        return {
            id: `${this.dependencies.settings.endpoint}-orphan-${this.callCount}`,
            action: findRequestHeader(request, actionHeader) ?? this.dependencies.createId(),
            caller: this.dependencies.settings.service,
            importance: "low",
            depth: 0,
            deadlineAtMs: this.dependencies.clock.readMonotonicMs() + defaultDeadlineMs,
            retryAllowance: 0,
        };
    }

    private computeDeadlineAtMs(request: CallRequest, match: RouteMatch, parentCall: Call): number {
        const requestedDeadlineMs = parseRemainingMs(findRequestHeader(request, deadlineHeader));
        const limitMs = Math.min(match.route.deadlineMs, requestedDeadlineMs ?? match.route.deadlineMs);
        return Math.min(parentCall.deadlineAtMs, this.dependencies.clock.readMonotonicMs() + limitMs);
    }
}

/** Reads the idempotency key of a call; returns undefined if the route is idempotent or the upstream sent no key. */
const readIdempotencyKey = (request: CallRequest, match: RouteMatch): string | undefined =>
    match.route.idempotent ? undefined : findRequestHeader(request, "idempotency-key");

const createKeyedHeaders = (matched: MatchedCall, key: string | undefined): readonly string[] => {
    const { request, body } = matched;
    const rawHeaders = createForwardHeaders(request, body);
    if (key !== undefined && findRequestHeader(request, "idempotency-key") === undefined) {
        rawHeaders.push("idempotency-key", key);
    }
    return rawHeaders;
};

const refuse = (request: CallRequest, problem: Omit<Problem, "outcome">): void =>
    sendProblem(request.sink, { ...problem, outcome: "not-run" });
