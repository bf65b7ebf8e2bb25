/** One request from its arrival at this node to its final answer. */
import { type Route } from "../../routing/types";
import { type AnswerHead, type AnswerSink, StartedSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader } from "../../tasks/_lib/headers";
import { type Problem, sendProblem } from "../../tasks/_lib/problem";
import { type RequestBody } from "../../tasks/_lib/readBody";
import { type Timeout } from "../../tasks/_lib/timerWheel";
import { type ActiveRequest } from "../activeRequests";
import { sendAnswer } from "../ingress";
import { type LogFields } from "../log";
import { type EntryCallDependencies } from "./index";
import {
    describeBody,
    describeDeadline,
    describeHopFailure,
    describeNoUpstream,
    describeShed,
    describeUnknownRoute,
    leavingProblem,
    noRoutingProblem,
} from "./problems";
import { Sending, type SendingEnd, type SendingHandler } from "./sending";

/** Used when a request states no deadline, in milliseconds. */
const defaultDeadlineMs = 30_000;
/** The final answer follows this long after the upstream's own answer is due, in milliseconds. */
const expiryMarginMs = 5;

/** Owns the state of one request. */
export class EntryCall implements SendingHandler {
    private readonly startedAtMs: number;
    private readonly requestId: string;
    /** The request for which the local upstream makes this call, if it is one. */
    private readonly parent: ActiveRequest | undefined;
    private route: Route | undefined;
    private deadlineAtMs = 0;
    private sending: Sending | undefined;
    private isSettled = false;
    private deadline: Timeout | undefined;

    constructor(
        private readonly request: CallRequest,
        private readonly dependencies: EntryCallDependencies,
        private readonly onSettled: () => void,
    ) {
        this.startedAtMs = dependencies.readNowMs();
        this.requestId = findHeader(request.rawHeaders, dependencies.names.requestId) ?? "";
        this.parent = dependencies.activeRequests.findParent(this.requestId);
    }

    start(): void {
        const { routing, wheel } = this.dependencies;
        const host = findHeader(this.request.rawHeaders, "host") ?? "";
        this.route = routing.find(host, this.request.url);
        const refusal = this.findRefusal(host);
        if (refusal) {
            this.refuse(refusal);
            return;
        }
        const allowedMs = this.deadlineAtMs - this.startedAtMs;
        this.deadline = wheel.add(allowedMs + expiryMarginMs, () => this.expire());
        this.request.onEarlyClose(() => this.cancel());
        const maxBytes = routing.limits?.maxBodyBytes ?? 0;
        this.request.readBody({ buffered: false, maxBytes }, result => {
            if (this.isSettled) {
                return;
            }
            if (result.kind === "body") {
                this.send(result.body);
                return;
            }
            this.refuse(describeBody(result.kind, maxBytes));
        });
    }

    openStream(head: AnswerHead): AnswerSink {
        this.isSettled = true;
        this.request.sink.start(head);
        this.release("streamed", head.status);
        return new StartedSink(this.request.sink);
    }

    finish({ result, upstreamId, mayHaveRun }: SendingEnd): void {
        if (result.kind === "answered") {
            this.isSettled = true;
            sendAnswer(this.request.sink, this.request.method, result.head, result.body!);
            this.release("answered", result.head.status);
            return;
        }
        const returnDelayMs = this.route!.targetLatencyMs / 4 * (1 + this.dependencies.sampleRandom());
        this.refuse(describeHopFailure(result, mayHaveRun, upstreamId, returnDelayMs));
    }

    writeLog(event: string, fields: LogFields): void {
        this.dependencies.log.write(event, {
            request: this.requestId,
            route: this.route?.name ?? "none",
            version: this.dependencies.routing.version,
            nested: this.parent !== undefined,
            ...fields,
        });
    }

    /** Finds the reason for which the request is refused before it is read; sets its deadline. */
    private findRefusal(host: string): Problem | undefined {
        const { routing, shedding, readStaleMs, computeTimeLeftMs, sampleRandom } = this.dependencies;
        const { route } = this;
        if (!routing.table) {
            return noRoutingProblem;
        }
        if (!route) {
            return describeUnknownRoute(host, routing.version);
        }
        this.deadlineAtMs = this.startedAtMs + this.computeAllowedMs(route) - readStaleMs();
        if (this.deadlineAtMs <= this.startedAtMs) {
            return describeDeadline(false);
        }
        if (!this.parent && this.deadlineAtMs - this.startedAtMs > computeTimeLeftMs()) {
            return leavingProblem;
        }
        if (this.parent || shedding.tryAdmit(route.name, route.rank, host + this.request.url)) {
            return undefined;
        }
        return describeShed(shedding.readShare(route.name), route.targetLatencyMs, sampleRandom());
    }

    private computeAllowedMs(route: Route): number {
        const stated = Number(findHeader(this.request.rawHeaders, this.dependencies.names.deadline));
        const deadlineMs = Number.isFinite(stated) && stated > 0 ? stated : defaultDeadlineMs;
        return Math.min(deadlineMs, route.timeoutMs);
    }

    private send(body: RequestBody): void {
        const { headersSetAnew, routing, readService } = this.dependencies;
        const route = this.route!;
        const service = routing.takeService(route);
        const rawHeaders = createForwardHeaders(this.request, body, headersSetAnew);
        const { parent, startedAtMs } = this;
        const request = {
            requestId: this.requestId,
            method: this.request.method,
            path: this.request.url,
            rawHeaders,
            body,
            route: route.name,
            callerService: readService(),
            idempotent: route.idempotent,
            nested: parent !== undefined,
            rank: parent?.rank ?? route.rank,
            targetLatencyMs: route.targetLatencyMs,
            deadlineAtMs: this.deadlineAtMs,
        };
        this.sending = new Sending({ route, service, parent, request, startedAtMs }, this, this.dependencies);
        if (!this.sending.start()) {
            this.refuse(describeNoUpstream(service));
        }
    }

    /** Ends the request at its deadline; the answer says no more than is known. */
    private expire(): void {
        if (this.isSettled) {
            return;
        }
        const isOffered = this.sending?.cancel("timeout") ?? false;
        this.refuse(describeDeadline(isOffered));
    }

    /** The caller has gone; what may be repeated is broken off. */
    private cancel(): void {
        if (this.isSettled) {
            return;
        }
        this.isSettled = true;
        this.sending?.cancel("cancelled");
        this.release("cancelled", 0);
    }

    private refuse(problem: Problem): void {
        this.isSettled = true;
        if (this.parent) {
            this.parent.hasRefusedCall = true;
            this.dependencies.shedding.recordCall(this.route?.name ?? "", 1);
        }
        const { request } = this;
        const isClosing = problem.reason === "leaving" || request.hasUnreadBody();
        sendProblem(request.sink, problem, isClosing ? ["Connection", "close"] : []);
        this.writeLog("request-refused", {
            status: problem.status,
            reason: problem.reason,
            detail: problem.detail,
            elapsedMs: Math.round(this.dependencies.readNowMs() - this.startedAtMs),
        });
        this.release(problem.reason, problem.status);
    }

    private release(outcome: string, status: number): void {
        const { wheel, metrics, readNowMs } = this.dependencies;
        wheel.remove(this.deadline);
        metrics.countAnswer(this.route?.name ?? "none", outcome, status, readNowMs() - this.startedAtMs);
        this.onSettled();
    }
}
