/** Serves the calls that the local upstream makes to other services. */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { v7 } from "uuid";
import { defaultDeadlineMs, refusalRetryAfterSeconds } from "../../constants";
import { computeHome } from "../../decisions/computeHome";
import { mergeImportance } from "../../decisions/mergeImportance";
import { parseDeadline } from "../../decisions/parseDeadline";
import { type Settings } from "../../settings/types";
import { ResponseSink } from "../_lib/answerSink";
import { type Clock } from "../_lib/clock";
import {
    actionHeader,
    callHeader,
    deadlineHeader,
    findHeader,
    requestHeadersSetAnew,
    stripHeaders,
} from "../_lib/headers";
import { closeListener, openListener } from "../_lib/openListener";
import { type Problem, sendProblemResponse } from "../_lib/problem";
import { readBody, type RequestBody } from "../_lib/readBody";
import { type Forwarder } from "../forwarder";
import { type Ledger } from "../ledger";
import { type PolicyTask } from "../policy";
import { type Call, type RouteMatch } from "../types";

/** The tasks that the egress works with. */
export interface EgressParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly policy: PolicyTask;
    readonly ledger: Ledger;
    readonly forwarder: Forwarder;
}

/** The service and path that a request of the upstream names. */
interface Target {
    readonly service: string;
    readonly path: string;
}

/** Parses the target: an absolute URL, as a client sends it to an HTTP proxy, or a path with a Host header. */
const parseTarget = (request: IncomingMessage): Target | undefined => {
    const url = request.url!;
    if (url.startsWith("/")) {
        const host = request.headers.host ?? "";
        return { service: host.split(":")[0]!, path: url };
    }
    if (!URL.canParse(url)) {
        return undefined;
    }
    const parsed = new URL(url);
    return { service: parsed.hostname, path: `${parsed.pathname}${parsed.search}` };
};

/** Owns the listener for the local upstream. */
export class Egress {
    private server: Server | undefined;
    private callCount = 0;

    constructor(private readonly parts: EgressParts) {}

    async start(): Promise<void> {
        const { egress } = this.parts.settings.listen;
        this.server = await openListener(egress, (request, response) => this.handle(request, response));
    }

    /** Closes the listener once its calls have ended. */
    async stop(): Promise<void> {
        if (this.server) {
            await closeListener(this.server);
        }
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        const target = parseTarget(request);
        if (!target) {
            refuse(response, { status: 400, reason: "bad-request", detail: "the request names no service" });
            return;
        }
        const { policy } = this.parts;
        const match = policy.findRoute(target.service, request.method!, target.path);
        if (!match) {
            refuse(response, this.describeNoMatch(target, request.method!));
            return;
        }
        if (request.headers.expect !== undefined) {
            response.writeContinue();
        }
        const { maxRequestBodyBytes: maxBytes } = this.parts.settings;
        readBody(request, { whole: false, maxBytes }, result => {
            if (result.kind === "body") {
                this.forward(request, response, { target, match, body: result.body });
                return;
            }
            const isTooLarge = result.kind === "too-large";
            refuse(response, {
                status: isTooLarge ? 413 : 400,
                reason: isTooLarge ? "body-too-large" : "bad-request",
                detail: isTooLarge ? `more than ${maxBytes} bytes` : "the request body broke off",
            });
        });
    }

    private describeNoMatch(target: Target, method: string): Omit<Problem, "outcome"> {
        const { inForce } = this.parts.policy;
        if (!inForce) {
            return {
                status: 503,
                reason: "no-policy",
                detail: "this node has not read a policy yet",
                retryAfterSeconds: refusalRetryAfterSeconds,
            };
        }
        return inForce.policy.services[target.service]
            ? {
                status: 404,
                reason: "unknown-route",
                detail: `${method} is not declared for this path of ${target.service}`,
            }
            : { status: 404, reason: "unknown-service", detail: `the policy has no service "${target.service}"` };
    }

    private forward(
        request: IncomingMessage,
        response: ServerResponse,
        outgoing: {
            readonly target: Target;
            readonly match: RouteMatch;
            readonly body: RequestBody;
        },
    ): void {
        const { match, target, body } = outgoing;
        const payer = this.findPayer(request);
        const key = this.readKey(request, match);
        const rawHeaders = stripHeaders(request.rawHeaders, requestHeadersSetAnew);
        if (key !== undefined && request.headers["idempotency-key"] === undefined) {
            rawHeaders.push("idempotency-key", key);
        }
        const isStream = body !== undefined && !Buffer.isBuffer(body);
        if (isStream && request.headers["content-length"] !== undefined) {
            rawHeaders.push("content-length", request.headers["content-length"]);
        }
        const endpoints = match.servicePolicy.endpoints.map(endpoint => endpoint.name);
        const cancel = this.parts.forwarder.forward({
            payer,
            inPlaceOfPayer: false,
            service: target.service,
            deadlineAtMs: this.computeDeadline(request, match, payer),
            importance: mergeImportance(payer.importance, match.route.importance),
            method: request.method!,
            path: target.path,
            rawHeaders,
            body,
            repeatable: match.route.idempotent || key !== undefined,
            home: key === undefined ? undefined : computeHome(payer.caller, key, endpoints),
            sink: new ResponseSink(response),
            finish: () => undefined,
        });
        response.once("close", () => {
            if (!response.writableFinished) {
                cancel();
            }
        });
    }

    /** Finds the call that the upstream is serving; without one, the call gets no retries. */
    private findPayer(request: IncomingMessage): Call {
        const parent = this.parts.ledger.find(findHeader(request.rawHeaders, callHeader));
        if (parent) {
            return parent;
        }
        this.callCount += 1;
        return {
            id: `${this.parts.settings.endpoint}-orphan-${this.callCount}`,
            action: findHeader(request.rawHeaders, actionHeader) ?? v7(),
            caller: this.parts.settings.service,
            importance: "low",
            deadlineAtMs: this.parts.clock.readMonotonicMs() + defaultDeadlineMs,
            retries: 0,
        };
    }

    /** Returns the key of a non-idempotent call; the node mints one where the upstream sends none. */
    private readKey(request: IncomingMessage, match: RouteMatch): string | undefined {
        if (match.route.idempotent) {
            return undefined;
        }
        return (request.headers["idempotency-key"] as string | undefined) ?? v7();
    }

    private computeDeadline(request: IncomingMessage, match: RouteMatch, payer: Call): number {
        const asked = parseDeadline(findHeader(request.rawHeaders, deadlineHeader));
        const ownMs = Math.min(match.route.deadlineMs, asked ?? match.route.deadlineMs);
        return Math.min(payer.deadlineAtMs, this.parts.clock.readMonotonicMs() + ownMs);
    }
}

const refuse = (response: ServerResponse, problem: Omit<Problem, "outcome">): void =>
    sendProblemResponse(response, { ...problem, outcome: "not-run" });
