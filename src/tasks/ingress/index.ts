/** Serves requests from callers and from other nodes in front of the local upstream. */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Pool } from "undici";
import {
    drainRetryAfterSeconds,
    maxReplayBodyBytes,
    refusalRetryAfterSeconds,
    upstreamKeepAliveMs,
} from "../../constants";
import { computeHome } from "../../decisions/computeHome";
import { type Settings } from "../../settings/types";
import { type Outcome } from "../../types";
import { ResponseSink } from "../_lib/answerSink";
import { type Clock } from "../_lib/clock";
import { actionHeader, leavingHeader, requestHeadersSetAnew, stripHeaders } from "../_lib/headers";
import { closeListener, openListener } from "../_lib/openListener";
import { type Problem, sendProblemResponse } from "../_lib/problem";
import { readBody, type RequestBody } from "../_lib/readBody";
import { type TimerWheel } from "../_lib/timerWheel";
import { type Admission } from "../admission";
import { type Forwarder } from "../forwarder";
import { type KeyRecords } from "../keyRecords";
import { type Ledger } from "../ledger";
import { type NodeMetrics } from "../metrics";
import { type PolicyTask } from "../policy";
import { computeFingerprint, serveKeyed, TeeSink } from "./keyedRequest";
import { type Incoming, matchRequest, type Origin } from "./matchRequest";
import { ServedCall, type ServeOrder } from "./servedCall";

/** The tasks that the ingress works with. */
export interface IngressParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly policy: PolicyTask;
    readonly admission: Admission;
    readonly ledger: Ledger;
    readonly keyRecords: KeyRecords;
    readonly forwarder: Forwarder;
    readonly metrics: NodeMetrics;
    readonly isDraining: () => boolean;
}

/** Owns the listeners for callers and peers and the connections to the local upstream. */
export class Ingress {
    private readonly upstream: Pool;
    private readonly servers: Server[] = [];
    private callCount = 0;
    private inFlight = 0;

    constructor(private readonly parts: IngressParts) {
        const { host, port } = parts.settings.upstream;
        this.upstream = new Pool(`http://${host}:${port}`, {
            pipelining: 1,
            keepAliveTimeout: upstreamKeepAliveMs,
            connect: { timeout: 1_000 },
        });
    }

    /** Number of requests without their final answer. */
    get pending(): number {
        return this.inFlight;
    }

    async start(): Promise<void> {
        const { callers, peers } = this.parts.settings.listen;
        this.servers.push(await openListener(peers, (request, response) => this.handle(request, response, "peer")));
        if (callers) {
            this.servers.push(
                await openListener(callers, (request, response) => this.handle(request, response, "caller")),
            );
        }
    }

    /** Closes the listeners and connections once the requests in flight have ended. */
    async stop(): Promise<void> {
        await Promise.all(this.servers.map(closeListener));
        await this.upstream.close();
    }

    private handle(request: IncomingMessage, response: ServerResponse, origin: Origin): void {
        this.parts.metrics.countAccepted();
        this.callCount += 1;
        const matched = matchRequest({ request, response, origin }, this.callCount, this.parts);
        if (matched.kind === "refused") {
            this.refuseUnmatched(response, matched.problem);
            return;
        }
        const { incoming } = matched;
        this.inFlight += 1;
        if (incoming.key === undefined) {
            this.handleUnkeyed(incoming);
            return;
        }
        this.handleKeyed(incoming);
    }

    private refuseUnmatched(response: ServerResponse, problem: Problem): void {
        const { outcome, reason } = problem;
        this.parts.metrics.countServed({ route: "none", importance: "normal", outcome, reason, seconds: 0 });
        sendProblemResponse(response, problem);
    }

    private handleUnkeyed(incoming: Incoming): void {
        if (this.parts.isDraining()) {
            this.refuse(incoming, {
                status: 503,
                reason: "leaving",
                outcome: "not-run",
                detail: "this instance takes no new requests",
                retryAfterSeconds: drainRetryAfterSeconds,
            });
            return;
        }
        if (this.parts.admission.isFull(incoming.call.importance)) {
            this.refuse(incoming, {
                status: 503,
                reason: "overloaded",
                outcome: "not-run",
                detail: "all slots and places in the queue are taken",
                retryAfterSeconds: refusalRetryAfterSeconds,
            });
            return;
        }
        this.readBody(incoming, body => this.serve(incoming, body));
    }

    private handleKeyed(incoming: Incoming): void {
        this.readBody(incoming, body => {
            const home = this.computeHome(incoming);
            if (home === this.parts.settings.endpoint) {
                this.serveAtHome(incoming, body as Buffer | undefined);
                return;
            }
            if (incoming.origin === "peer") {
                const detail = `the request belongs to ${home}`;
                this.refuse(incoming, { status: 421, reason: "wrong-home", outcome: "may-have-run", detail });
                return;
            }
            this.forwardToHome(incoming, body as Buffer | undefined, home!);
        });
    }

    private computeHome(incoming: Incoming): string | undefined {
        const endpoints = incoming.match.servicePolicy.endpoints.map(endpoint => endpoint.name);
        return computeHome(incoming.call.caller, incoming.key!, endpoints);
    }

    private readBody(incoming: Incoming, use: (body: RequestBody) => void): void {
        const { request, response } = incoming;
        if (request.headers.expect !== undefined) {
            response.writeContinue();
        }
        const isKeyed = incoming.key !== undefined;
        const maxBytes = isKeyed ? maxKeyedBodyBytes : this.parts.settings.maxRequestBodyBytes;
        readBody(request, { whole: isKeyed, maxBytes }, result => {
            if (result.kind === "body") {
                use(result.body);
                return;
            }
            const outcome: Outcome = isKeyed ? "may-have-run" : "not-run";
            const [status, reason, detail] = result.kind === "too-large"
                ? [413, "body-too-large", `more than ${maxBytes} bytes`] as const
                : [400, "bad-request", "the request body broke off"] as const;
            this.refuse(incoming, { status, reason, outcome, detail });
        });
    }

    private serve(incoming: Incoming, body: RequestBody): void {
        const served = new ServedCall(
            {
                ...this.createServeOrder(incoming, body),
                sink: new ResponseSink(incoming.response),
                finish: (outcome, reason) => this.finish(incoming, outcome, reason),
            },
            { ...this.parts, upstream: this.upstream },
        );
        onEarlyClose(incoming.response, () => served.cancel());
        served.start();
    }

    private serveAtHome(incoming: Incoming, body: Buffer | undefined): void {
        const { call, request, response } = incoming;
        const keyed = {
            caller: call.caller,
            key: incoming.key!,
            fingerprint: computeFingerprint(request.method!, request.url!, body),
        };
        serveKeyed({
            records: this.parts.keyRecords,
            request: keyed,
            run: () => {
                const sink = new TeeSink(new ResponseSink(response));
                const finish = (outcome: Outcome, reason: string): void => {
                    this.finish(incoming, outcome, reason);
                    this.parts.keyRecords.settle(keyed, { outcome, answer: sink.answer });
                };
                const order = { ...this.createServeOrder(incoming, body), sink, finish };
                new ServedCall(order, { ...this.parts, upstream: this.upstream }).start();
            },
            wait: {
                sink: new ResponseSink(response),
                action: call.action,
                remainingMs: call.deadlineAtMs - this.parts.clock.readMonotonicMs(),
                wheel: this.parts.wheel,
                finish: (end, reason) => this.finish(incoming, end.outcome, reason),
            },
        });
    }

    private forwardToHome(incoming: Incoming, body: Buffer | undefined, home: string): void {
        const { call, request, response, match } = incoming;
        this.parts.ledger.open(call);
        const cancel = this.parts.forwarder.forward({
            payer: call,
            inPlaceOfPayer: true,
            service: match.service,
            deadlineAtMs: call.deadlineAtMs,
            importance: call.importance,
            method: request.method!,
            path: request.url!,
            rawHeaders: stripHeaders(request.rawHeaders, requestHeadersSetAnew),
            body,
            repeatable: true,
            home,
            sink: new ResponseSink(response),
            finish: outcome => {
                this.parts.ledger.close(call.id);
                this.finish(incoming, outcome, "answered");
            },
        });
        onEarlyClose(response, cancel);
    }

    private createServeOrder(incoming: Incoming, body: ServeOrder["body"]): Omit<ServeOrder, "sink" | "finish"> {
        const { call, match, request, origin } = incoming;
        const rawHeaders = stripHeaders(request.rawHeaders, requestHeadersSetAnew);
        const isStream = body !== undefined && !Buffer.isBuffer(body);
        if (isStream && request.headers["content-length"] !== undefined) {
            rawHeaders.push("content-length", request.headers["content-length"]);
        }
        return {
            call,
            match,
            method: request.method!,
            path: request.url!,
            rawHeaders,
            body,
            forPeer: origin === "peer",
        };
    }

    private refuse(incoming: Incoming, problem: Problem): void {
        this.finish(incoming, problem.outcome, problem.reason);
        const { request, response, call } = incoming;
        const isUnread = !request.complete
            && Number(request.headers["content-length"] ?? Infinity) > maxReplayBodyBytes;
        const headers = [
            actionHeader,
            call.action,
            ...(this.parts.isDraining() ? [leavingHeader, "1"] : []),
            ...(isUnread || this.parts.isDraining() ? ["Connection", "close"] : []),
        ];
        sendProblemResponse(response, problem, headers);
    }

    private finish(incoming: Incoming, outcome: Outcome, reason: string): void {
        this.inFlight -= 1;
        this.parts.metrics.countServed({
            route: incoming.match.route.name,
            importance: incoming.call.importance,
            outcome,
            reason,
            seconds: (this.parts.clock.readMonotonicMs() - incoming.startedAtMs) / 1_000,
        });
    }
}

const maxKeyedBodyBytes = 1024 * 1024;

/** Calls back when a response is closed before it has been finished. */
const onEarlyClose = (response: ServerResponse, handle: () => void): void => {
    response.once("close", () => {
        if (!response.writableFinished) {
            handle();
        }
    });
};
