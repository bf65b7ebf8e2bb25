/** Handles requests from callers and other nodes: serves them at the local upstream, forwards them or refuses them. */
import { maxKeyedBodyBytes } from "../../constants";
import { computeHome } from "../../decisions/computeHome";
import { type Settings } from "../../settings/types";
import { type Outcome } from "../../types";
import { type Dispatch } from "../_lib/attempt";
import { type CallRequest, createForwardHeaders, findRequestHeader } from "../_lib/callRequest";
import { type Clock } from "../_lib/clock";
import { actionHeader, leavingHeader, nodeHeader } from "../_lib/headers";
import { type Problem, sendProblem } from "../_lib/problem";
import { type RequestBody } from "../_lib/readBody";
import { type TimerWheel } from "../_lib/timerWheel";
import { type Admission } from "../admission";
import { type CallLedger } from "../callLedger";
import { type Directory } from "../directory";
import { type Forwarder } from "../forwarder";
import { type HomeGuard } from "../homeGuard";
import { type KeyRecords } from "../keyRecords";
import { type NodeMetrics } from "../metrics";
import { type PauseDetector } from "../pauseDetector";
import { type PolicyTask } from "../policy";
import { type Quarantine } from "../quarantine";
import { type Shedder } from "../shedder";
import { computeFingerprint, serveKeyed, TeeSink } from "./keyedRequest";
import { type IncomingRequest, matchRequest, type Origin } from "./matchRequest";
import { describeRefusal, findEntryRefusal, unsureHomeProblem } from "./refusals";
import { ServedCall, type ServeRequest } from "./servedCall";

export interface IngressDependencies {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly policy: PolicyTask;
    readonly admission: Admission;
    readonly ledger: CallLedger;
    readonly shedder: Shedder;
    readonly quarantine: Quarantine;
    readonly keyRecords: KeyRecords;
    readonly pauseDetector: PauseDetector;
    readonly homeGuard: HomeGuard;
    readonly forwarder: Forwarder;
    readonly directory: Directory;
    readonly metrics: NodeMetrics;
    /** Connection pool of the local upstream. */
    readonly upstream: Dispatch;
    /** Whether the node refuses new requests because it is shutting down. */
    readonly isDraining: () => boolean;
    /** Creates a version 7 UUID. */
    readonly createId: () => string;
}

/** Handles received requests and counts those that are pending, so that a stopping node can wait for them. */
export class Ingress {
    private callCount = 0;
    private inFlight = 0;

    constructor(private readonly dependencies: IngressDependencies) {}

    /** Number of requests whose outcome is not settled yet. */
    get pendingCount(): number {
        return this.inFlight;
    }

    /** Handles a request; the answer goes to the request's sink. */
    handle(request: CallRequest, origin: Origin): void {
        const node = origin === "peer" ? findRequestHeader(request, nodeHeader) : undefined;
        if (node !== undefined) {
            this.dependencies.directory.recordCaller(node);
        }
        this.dependencies.pauseDetector.check();
        this.dependencies.metrics.countAccepted();
        this.callCount += 1;
        const matched = matchRequest(request, origin, this.callCount, this.dependencies);
        if (matched.kind === "refused") {
            this.refuseUnmatched(request, matched.problem);
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

    private refuseUnmatched(request: CallRequest, problem: Problem): void {
        const { outcome, reason } = problem;
        this.dependencies.metrics.countServed({
            route: "none",
            importance: "normal",
            outcome,
            reason,
            durationSeconds: 0,
        });
        sendProblem(request.sink, problem);
    }

    /** Refuses the request before its body is read if it would be refused at once; serves it otherwise. */
    private handleUnkeyed(incoming: IncomingRequest): void {
        const { call, match } = incoming;
        const refusal = findEntryRefusal(call, match, this.dependencies);
        if (refusal) {
            this.refuse(incoming, refusal);
            return;
        }
        if (this.dependencies.admission.isFull(call.importance)) {
            this.refuse(incoming, describeRefusal("overloaded"));
            return;
        }
        this.readBody(incoming, body => this.serve(incoming, body));
    }

    /** Reads the whole body, which the request's fingerprint covers, then serves the request at its home. */
    private handleKeyed(incoming: IncomingRequest): void {
        this.readBody(incoming, body => {
            const home = this.computeHome(incoming);
            if (home === this.dependencies.settings.endpoint) {
                this.serveAtHome(incoming, body as Buffer | undefined);
                return;
            }
            if (incoming.origin === "peer") {
                const detail = `the request belongs to ${home}`;
                this.refuse(incoming, { status: 421, reason: "wrong-home", outcome: "may-have-run", detail });
                return;
            }
            this.forwardToHome(incoming, body, home!);
        });
    }

    private computeHome(incoming: IncomingRequest): string | undefined {
        const endpoints = incoming.match.servicePolicy.endpoints.map(endpoint => endpoint.name);
        return computeHome(incoming.call.caller, incoming.key!, endpoints);
    }

    private readBody(incoming: IncomingRequest, onBody: (body: RequestBody) => void): void {
        const isKeyed = incoming.key !== undefined;
        const maxBytes = isKeyed ? maxKeyedBodyBytes : this.dependencies.settings.maxRequestBodyBytes;
        incoming.request.readBody({ buffered: isKeyed, maxBytes }, result => {
            if (result.kind === "body") {
                onBody(result.body);
                return;
            }
            const outcome: Outcome = isKeyed ? "may-have-run" : "not-run";
            const [status, reason, detail] = result.kind === "too-large"
                ? [413, "body-too-large", `more than ${maxBytes} bytes`] as const
                : [400, "bad-request", "the request body broke off"] as const;
            this.refuse(incoming, { status, reason, outcome, detail });
        });
    }

    private serve(incoming: IncomingRequest, body: RequestBody): void {
        const { request } = incoming;
        const finish = (outcome: Outcome, reason: string): void => this.finish(incoming, outcome, reason);
        const servedCall = this.createServedCall({ ...createServeRequest(incoming, body), sink: request.sink, finish });
        request.onEarlyClose(() => servedCall.cancel());
        servedCall.start();
    }

    /** Runs a keyed request unless its record prevents it; a caller that disconnects doesn't cancel it. */
    private serveAtHome(incoming: IncomingRequest, body: Buffer | undefined): void {
        const { call, request } = incoming;
        const { keyRecords, wheel, clock } = this.dependencies;
        const keyedRequest = {
            caller: call.caller,
            key: incoming.key!,
            fingerprint: computeFingerprint(request.method, request.url, body),
        };
        serveKeyed({
            records: keyRecords,
            request: keyedRequest,
            run: () => {
                if (this.dependencies.homeGuard.state !== "sure") {
                    keyRecords.finish(keyedRequest, { outcome: "not-run", answer: undefined });
                    this.refuse(incoming, unsureHomeProblem);
                    return;
                }
                const sink = new TeeSink(request.sink);
                const finish = (outcome: Outcome, reason: string): void => {
                    this.finish(incoming, outcome, reason);
                    keyRecords.finish(keyedRequest, { outcome, answer: sink.answer });
                };
                this.createServedCall({ ...createServeRequest(incoming, body), sink, finish }).start();
            },
            wait: {
                sink: request.sink,
                action: call.action,
                remainingMs: call.deadlineAtMs - clock.readMonotonicMs(),
                wheel,
                finish: (result, reason) => this.finish(incoming, result.outcome, reason),
            },
        });
    }

    private createServedCall(request: ServeRequest): ServedCall {
        return new ServedCall(request, this.dependencies);
    }

    private forwardToHome(incoming: IncomingRequest, body: RequestBody, home: string): void {
        const { call, request, match } = incoming;
        this.dependencies.ledger.open(call);
        const cancel = this.dependencies.forwarder.forward({
            chargedCall: call,
            isChargedCall: true,
            service: match.service,
            deadlineAtMs: call.deadlineAtMs,
            importance: call.importance,
            method: request.method,
            path: request.url,
            rawHeaders: createForwardHeaders(request, body),
            body,
            retryable: true,
            home,
            sink: request.sink,
            onFinished: outcome => {
                this.dependencies.ledger.close(call.id);
                this.finish(incoming, outcome, "answered");
            },
        });
        request.onEarlyClose(cancel);
    }

    private refuse(incoming: IncomingRequest, problem: Problem): void {
        this.finish(incoming, problem.outcome, problem.reason);
        const { request, call } = incoming;
        const isDraining = this.dependencies.isDraining();
        sendProblem(request.sink, problem, [
            actionHeader,
            call.action,
            ...(isDraining ? [leavingHeader, "1"] : []),
            ...(request.hasUnreadBody() || isDraining ? ["Connection", "close"] : []),
        ]);
    }

    private finish(incoming: IncomingRequest, outcome: Outcome, reason: string): void {
        this.inFlight -= 1;
        this.dependencies.metrics.countServed({
            route: incoming.match.route.name,
            importance: incoming.call.importance,
            outcome,
            reason,
            durationSeconds: (this.dependencies.clock.readMonotonicMs() - incoming.startedAtMs) / 1_000,
        });
    }
}

const createServeRequest = (incoming: IncomingRequest, body: RequestBody): Omit<ServeRequest, "sink" | "finish"> => {
    const { call, match, request, origin } = incoming;
    const rawHeaders = createForwardHeaders(request, body);
    const { method, url: path } = request;
    const kind = match.route.idempotent ? "idempotent" : incoming.key === undefined ? "unkeyed" : "keyed";
    return { call, match, method, path, rawHeaders, body, kind, forPeer: origin === "peer" };
};
