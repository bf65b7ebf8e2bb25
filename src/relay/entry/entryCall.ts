/** Handles one request at the entry, from its arrival to its answer. */
import { computeNestedRank } from "../../decisions/computeNestedRank";
import { type Route } from "../../routing/types";
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader } from "../../tasks/_lib/headers";
import { type Problem } from "../../tasks/_lib/problem";
import { type RequestBody } from "../../tasks/_lib/readBody";
import { type Timeout } from "../../tasks/_lib/timerWheel";
import { type ActiveRequest } from "../activeRequests";
import { type LogFields } from "../log";
import { AnswerWriter } from "./answerWriter";
import { CallerOrganisation } from "./callerOrganisation";
import { CallStream } from "./callStream";
import { type EntryCallDependencies } from "./index";
import {
    describeBodyError,
    describeDeadlineExceeded,
    describeHopFailure,
    describeNoUpstream,
    describeShed,
    describeUnknownRoute,
    leavingProblem,
    noRoutingProblem,
} from "./problems";
import { RequestSender, type SendHandler, type SendResult } from "./requestSender";

/** Time allowed for requests without a valid deadline header, in milliseconds; the route's timeout may shorten it. */
const defaultDeadlineMs = 30_000;
/** Delay of the refusal after the deadline, so that an answer sent just in time can still arrive, in milliseconds. */
const expiryMarginMs = 5;

/** Validates a request, reads its body, sends it to an upstream and writes the answer. */
export class EntryCall implements SendHandler {
    private readonly startedAtMs: number;
    private readonly requestId: string;
    private readonly host: string;
    /** The request that the local upstream was serving when it sent this nested one; undefined for a direct request. */
    private readonly parent: ActiveRequest | undefined;
    private route: Route | undefined;
    private readonly caller: CallerOrganisation;
    private readonly writer: AnswerWriter;
    private deadlineAtMs = 0;
    private sender: RequestSender | undefined;
    private isComplete = false;
    /** Whether the head of the answer has been sent and its body is being streamed. */
    private isStreaming = false;
    private deadlineTimeout: Timeout | undefined;

    constructor(
        private readonly request: CallRequest,
        private readonly dependencies: EntryCallDependencies,
        private readonly onComplete: () => void,
    ) {
        this.startedAtMs = dependencies.readNowMs();
        this.requestId = findHeader(request.rawHeaders, dependencies.headerNames.requestId) ?? "";
        this.host = findHeader(request.rawHeaders, "host") ?? "";
        this.caller = new CallerOrganisation(dependencies.organisations);
        this.writer = new AnswerWriter(request, () => dependencies.computeTimeLeftMs() < Infinity);
        this.parent = dependencies.activeRequests.findParent(this.requestId);
    }

    start(): void {
        const { routing, wheel } = this.dependencies;
        this.route = routing.findRoute(this.host, this.request.url);
        const problem = this.findProblem();
        if (problem) {
            this.refuse(problem);
            return;
        }
        const allowedMs = this.deadlineAtMs - this.startedAtMs;
        this.deadlineTimeout = wheel.add(allowedMs + expiryMarginMs, () => this.expire());
        this.request.onEarlyClose(() => this.cancel());
        this.caller.takeToken(tokenProblem => {
            if (this.isComplete) {
                this.caller.releaseToken();
            }
            else if (tokenProblem) {
                this.refuse(tokenProblem);
            }
            else {
                this.tryAdmit();
            }
        });
    }

    /** Sheds the request, or reads its body and sends it. */
    private tryAdmit(): void {
        const shedProblem = this.parent ? undefined : this.findShedProblem();
        if (shedProblem) {
            this.caller.releaseToken();
            this.refuse(shedProblem);
            return;
        }
        const maxBytes = this.dependencies.routing.limits?.maxBodyBytes ?? 0;
        this.request.readBody({ buffered: false, maxBytes }, result => {
            if (this.isComplete) {
                return;
            }
            if (result.kind === "body") {
                this.send(result.body);
                return;
            }
            this.refuse(describeBodyError(result.kind, maxBytes));
        });
    }

    openStream(head: AnswerHead): AnswerSink {
        this.isStreaming = true;
        // The timeout of the route limits the wait for an answer; the caller may read a long one until its deadline.
        const { wheel, readNowMs } = this.dependencies;
        wheel.remove(this.deadlineTimeout);
        const remainingMs = this.startedAtMs + this.parseDeadlineMs() - readNowMs();
        this.deadlineTimeout = wheel.add(remainingMs + expiryMarginMs, () => this.expire());
        return new CallStream(this.writer.openStream(head), outcome => {
            this.isComplete = true;
            this.end(outcome, head.status);
        });
    }

    finish({ result, upstreamId, mayHaveRun }: SendResult): void {
        if (result.kind === "answered") {
            this.isComplete = true;
            this.writer.writeAnswer(result.head, result.body!);
            this.end("answered", result.head.status);
            return;
        }
        const retryAfterMs = this.route!.targetLatencyMs / 4 * (1 + this.dependencies.sampleRandom());
        this.refuse(describeHopFailure(result, mayHaveRun, upstreamId, retryAfterMs));
    }

    writeLog(event: string, fields: LogFields): void {
        this.dependencies.log.write(event, {
            request: this.requestId,
            route: this.route?.name ?? "none",
            version: this.dependencies.routing.version,
            organisation: this.caller.name,
            nested: this.parent !== undefined,
            ...fields,
        });
    }

    /** Returns a problem if the request must be refused before its body is read. Also sets `deadlineAtMs`. */
    private findProblem(): Problem | undefined {
        const { routing, headerNames, readStaleMs, computeTimeLeftMs } = this.dependencies;
        const { route } = this;
        if (!routing.table) {
            return noRoutingProblem;
        }
        if (!route) {
            return describeUnknownRoute(this.host, routing.version);
        }
        const hasParentId = this.requestId.includes(headerNames.callSeparator);
        const keyProblem = this.parent ? undefined : this.caller.identify(this.request, route, hasParentId);
        if (keyProblem) {
            return keyProblem;
        }
        this.deadlineAtMs = this.startedAtMs + Math.min(this.parseDeadlineMs(), route.timeoutMs) - readStaleMs();
        if (this.deadlineAtMs <= this.startedAtMs) {
            return describeDeadlineExceeded(false);
        }
        const timeLeftMs = computeTimeLeftMs();
        if (this.computeNeededMs(route) > timeLeftMs) {
            return leavingProblem;
        }
        this.deadlineAtMs = Math.min(this.deadlineAtMs, this.startedAtMs + timeLeftMs);
        return undefined;
    }

    /**
     * Computes the time that has to be left in a stop. A direct request can be sent to another node and needs all its
     * time; a nested one can't, and would fail the request that it belongs to, so that its usual time is enough.
     */
    private computeNeededMs({ targetLatencyMs }: Route): number {
        const allowedMs = this.deadlineAtMs - this.startedAtMs;
        return this.parent ? Math.min(allowedMs, targetLatencyMs) : allowedMs;
    }

    /** Returns a problem if a direct request is shed. A shed one is recognized by host and path when it returns. */
    private findShedProblem(): Problem | undefined {
        const { shedding, sampleRandom } = this.dependencies;
        const { name, targetLatencyMs } = this.route!;
        const rank = this.caller.readRank(this.route!);
        const identity = this.host + this.request.url;
        if (shedding.tryAdmit({ route: name, rank, organisation: this.caller.name, identity })) {
            return undefined;
        }
        return describeShed(shedding.readAdmissionProbability(name, rank), targetLatencyMs, sampleRandom());
    }

    /** Creates the headers that upstreams receive; the key is not among them, but the name of its organisation is. */
    private createHeaders(body: RequestBody): string[] {
        const { organisations, replacedHeaders, replacedHeadersAndKey, headerNames } = this.dependencies;
        const { name } = this.caller;
        const removedNames = organisations.keys.isRequired ? replacedHeadersAndKey : replacedHeaders;
        const rawHeaders = createForwardHeaders(this.request, body, removedNames);
        return name === undefined ? rawHeaders : [...rawHeaders, headerNames.organisation, name];
    }

    private parseDeadlineMs(): number {
        const requestedDeadlineMs = Number(findHeader(this.request.rawHeaders, this.dependencies.headerNames.deadline));
        return Number.isFinite(requestedDeadlineMs) && requestedDeadlineMs > 0
            ? requestedDeadlineMs
            : defaultDeadlineMs;
    }

    private send(body: RequestBody): void {
        const { routing, readService } = this.dependencies;
        const route = this.route!;
        const service = routing.chooseService(route);
        const { parent, startedAtMs } = this;
        const request = {
            requestId: this.requestId,
            method: this.request.method,
            path: this.request.url,
            rawHeaders: this.createHeaders(body),
            body,
            route: route.name,
            callerService: readService(),
            idempotent: route.idempotent,
            nested: parent !== undefined,
            rank: parent
                ? computeNestedRank(parent.rank, parent.succeededNestedCalls)
                : this.caller.readRank(this.route!),
            targetLatencyMs: route.targetLatencyMs,
            deadlineAtMs: this.deadlineAtMs,
        };
        this.sender = new RequestSender({ route, service, parent, request, startedAtMs }, this, this.dependencies);
        if (!this.sender.start()) {
            this.refuse(describeNoUpstream(service));
        }
    }

    /** Refuses the request at the end of its time; the outcome depends on whether an upstream may have received it. */
    expire(): void {
        if (this.isComplete) {
            return;
        }
        const wasSent = this.sender?.cancel("timeout") ?? false;
        if (!this.isStreaming) {
            this.refuse(describeDeadlineExceeded(wasSent));
        }
    }

    /** Cancels the hops after the sender has closed the connection; upstreams may complete non-idempotent requests. */
    private cancel(): void {
        if (this.isComplete) {
            return;
        }
        this.sender?.cancel("cancelled");
        if (!this.isStreaming) {
            this.isComplete = true;
            this.end("cancelled", 0);
        }
    }

    private refuse(problem: Problem): void {
        this.isComplete = true;
        if (this.parent) {
            this.parent.nestedCallRefused = true;
            this.dependencies.shedding.recordNestedAnswer(this.route?.name ?? "", 1);
        }
        if (problem.reason === leavingProblem.reason) {
            // Requests that follow in the same pipeline are read in this turn of the event loop.
            setImmediate(() => this.writer.writeProblem(problem));
        }
        else {
            this.writer.writeProblem(problem);
        }
        this.writeLog("request-refused", {
            status: problem.status,
            reason: problem.reason,
            detail: problem.detail,
            elapsedMs: Math.round(this.dependencies.readNowMs() - this.startedAtMs),
        });
        this.end(problem.reason, problem.status);
    }

    private end(outcome: string, status: number): void {
        const { wheel, metrics, readNowMs } = this.dependencies;
        wheel.remove(this.deadlineTimeout);
        metrics.countAnswer(this.route?.name ?? "none", outcome, status, readNowMs() - this.startedAtMs);
        this.onComplete();
    }
}
