/** One request from its arrival at this node to its final answer. */
import { chooseUpstream } from "../../decisions/chooseUpstream";
import { decideRepeat } from "../../decisions/decideRepeat";
import { type Route } from "../../routing/types";
import { type AnswerHead, type AnswerSink, StartedSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader } from "../../tasks/_lib/headers";
import { type Problem, sendProblem } from "../../tasks/_lib/problem";
import { type RequestBody } from "../../tasks/_lib/readBody";
import { type Timeout } from "../../tasks/_lib/timerWheel";
import { sendAnswer } from "../ingress";
import { type HopOrder, type HopOwner, type HopResult, type LoadReport } from "../types";
import { type EntryParts } from "./index";
import {
    describeDeadline,
    describeHopFailure,
    describeNoUpstream,
    describeShed,
    describeUnknownRoute,
    noRoutingProblem,
} from "./problems";

/** Used when a request states no deadline, in milliseconds. */
const defaultDeadlineMs = 30_000;
/** Share of the target latency that a longer expected answer may cost to stay within the failure domain. */
const domainPenaltyShare = 0.1;
/** The final answer follows this long after the upstream's own answer is due, in milliseconds. */
const expiryMarginMs = 5;
/** Time below which a request is not sent once more, in milliseconds. */
const minRepeatMs = 30;

type Phase = "reading" | "sent" | "settled";

/** Owns the state of one request. */
export class EntryCall implements HopOwner {
    private readonly startedAtMs: number;
    private readonly requestId: string;
    private route: Route | undefined;
    private service = "";
    private body: RequestBody;
    private rawHeaders: readonly string[] = [];
    private deadlineAtMs = 0;
    private phase: Phase = "reading";
    private upstreamId = "";
    /** Upstreams that the request has been sent to, and nodes that have refused it. */
    private readonly offered: string[] = [];
    private readonly refusing: string[] = [];
    private mayHaveRun = false;
    /** The last answer of an upstream, passed on when a repeat brings nothing better. */
    private fallback: Extract<HopResult, { readonly kind: "answered"; }> | undefined;
    private cancelHop: (cause: "timeout" | "cancelled" | "connection") => void = () => undefined;
    private deadline: Timeout | undefined;
    private hopNumber = 0;

    constructor(
        private readonly request: CallRequest,
        private readonly nested: boolean,
        private readonly parts: EntryParts,
        private readonly onSettled: () => void,
    ) {
        this.startedAtMs = parts.readNowMs();
        this.requestId = findHeader(request.rawHeaders, parts.names.requestId) ?? "";
    }

    start(): void {
        const { routing, shedding } = this.parts;
        if (!routing.table) {
            this.refuse(noRoutingProblem);
            return;
        }
        const host = findHeader(this.request.rawHeaders, "host") ?? "";
        this.route = routing.find(host, this.request.url);
        if (!this.route) {
            this.refuse(describeUnknownRoute(host, routing.version));
            return;
        }
        this.deadlineAtMs = this.startedAtMs + this.computeAllowedMs(this.route);
        if (!this.nested && !shedding.admit(this.route.name, this.route.rank)) {
            const share = shedding.readShare(this.route.name);
            this.refuse(describeShed(share, this.route.targetLatencyMs, this.parts.sampleRandom()));
            return;
        }
        this.deadline = this.parts.wheel.add(
            this.deadlineAtMs - this.startedAtMs + expiryMarginMs,
            () => this.expire(),
        );
        this.request.onEarlyClose(() => this.abandon());
        const maxBytes = routing.limits?.maxBodyBytes ?? 0;
        this.request.readBody({ whole: false, maxBytes }, result => {
            if (this.phase === "settled") {
                return;
            }
            if (result.kind === "body") {
                this.sendFirst(result.body);
                return;
            }
            this.refuse({
                status: result.kind === "too-large" ? 413 : 400,
                reason: result.kind === "too-large" ? "body-too-large" : "bad-request",
                outcome: "not-run",
                detail: result.kind === "too-large" ? `more than ${maxBytes} bytes` : "the request body broke off",
            });
        });
    }

    openStream(head: AnswerHead): AnswerSink {
        this.request.sink.start(head);
        this.phase = "settled";
        this.release("streamed", head.status);
        return new StartedSink(this.request.sink);
    }

    settle(result: HopResult): void {
        this.parts.directory.recordEnded(this.upstreamId);
        if (this.phase === "settled") {
            return;
        }
        this.recordResult(result);
        const decision = decideRepeat({
            result,
            idempotent: this.route!.idempotent,
            upstreamsTried: this.offered.length,
            maxUpstreams: this.route!.maxUpstreams,
            refusals: this.refusing.length,
            remainingMs: this.deadlineAtMs - this.parts.readNowMs(),
            expectedMs: minRepeatMs,
        });
        const isReplayable = this.body === undefined || Buffer.isBuffer(this.body);
        const isAllowed = decision === "move" || decision === "repeat" && this.parts.budgets.tryTake(this.service);
        if (isReplayable && isAllowed && this.sendNext(decision === "repeat")) {
            return;
        }
        this.finish(result);
    }

    private computeAllowedMs(route: Route): number {
        const stated = Number(findHeader(this.request.rawHeaders, this.parts.names.deadline));
        const deadlineMs = Number.isFinite(stated) && stated > 0 ? stated : defaultDeadlineMs;
        return Math.min(deadlineMs, route.timeoutMs);
    }

    private sendFirst(body: RequestBody): void {
        const { names, routing, budgets, shedding } = this.parts;
        const route = this.route!;
        this.body = body;
        this.rawHeaders = removeHeaders(
            createForwardHeaders(this.request, body, true),
            [names.deadline, names.target, names.callerService],
        );
        this.service = routing.takeService(route);
        budgets.recordRequest(this.service);
        if (this.nested) {
            shedding.countCall(route.name);
        }
        if (!this.sendNext(false)) {
            this.refuse(describeNoUpstream(this.service));
        }
    }

    /** Sends the request to the best upstream that has not had it; false when there is none. */
    private sendNext(isRepeat: boolean): boolean {
        const route = this.route!;
        const { directory, sampleRandom, readNowMs } = this.parts;
        const candidates = directory.listCandidates(this.service, [...this.offered, ...this.refusing]);
        const chosen = chooseUpstream(candidates, {
            domainPenaltyMs: domainPenaltyShare * route.targetLatencyMs,
            mayExplore: route.idempotent,
            randoms: [sampleRandom(), sampleRandom()],
        });
        if (!chosen) {
            return false;
        }
        this.upstreamId = chosen.id;
        this.hopNumber += 1;
        this.phase = "sent";
        directory.recordSent(chosen.id);
        if (isRepeat) {
            this.parts.metrics.countRepeat(this.service);
            this.log("request-repeated", { upstream: chosen.id, elapsedMs: readNowMs() - this.startedAtMs });
        }
        this.startHop(this.createOrder());
        return true;
    }

    private startHop(order: HopOrder): void {
        const { hopNumber } = this;
        const owner: HopOwner = {
            openStream: head => this.openStream(head),
            settle: result => {
                if (hopNumber === this.hopNumber) {
                    this.settle(result);
                }
            },
        };
        const cancel = this.parts.sendHop(order, owner, report => this.takeReport(order.upstreamId, report));
        if (hopNumber === this.hopNumber) {
            this.cancelHop = cancel;
        }
    }

    private createOrder(): HopOrder {
        const route = this.route!;
        return {
            requestId: this.requestId,
            method: this.request.method,
            path: this.request.url,
            rawHeaders: this.rawHeaders,
            body: this.body,
            route: route.name,
            callerService: this.parts.readService(),
            upstreamId: this.upstreamId,
            idempotent: route.idempotent,
            nested: this.nested,
            rank: route.rank,
            targetLatencyMs: route.targetLatencyMs,
            deadlineAtMs: this.deadlineAtMs,
        };
    }

    private takeReport(upstreamId: string, report: LoadReport): void {
        const route = this.route!;
        this.parts.directory.recordReport(upstreamId, report);
        if (this.nested) {
            this.parts.shedding.recordCall(route.name, report.congestion);
            return;
        }
        this.parts.shedding.recordAnswer(route.name, route.rank, report.congestion);
    }

    private recordResult(result: HopResult): void {
        if (result.kind === "not-run" && result.reason !== "rejected" && result.reason !== "moved") {
            this.refusing.push(this.upstreamId);
        }
        else {
            this.offered.push(this.upstreamId);
        }
        const isUnreachable = result.kind === "not-run"
            && (result.reason === "unreachable" || result.reason === "down" || result.reason === "moved");
        if (isUnreachable) {
            this.parts.directory.recordFailure(this.upstreamId);
        }
        this.mayHaveRun ||= result.kind === "may-have-run" || result.kind === "answered";
        this.fallback = result.kind === "answered" ? result : this.fallback;
    }

    private finish(result: HopResult): void {
        const answer = result.kind === "answered" ? result : this.fallback;
        if (answer?.body) {
            this.deliver(answer);
            return;
        }
        const returnDelayMs = this.route!.targetLatencyMs / 4 * (1 + this.parts.sampleRandom());
        this.refuse(describeHopFailure(result, this.mayHaveRun, this.upstreamId, returnDelayMs));
    }

    private deliver(answer: Extract<HopResult, { readonly kind: "answered"; }>): void {
        this.phase = "settled";
        sendAnswer(this.request.sink, this.request.method, answer.head, answer.body!);
        this.release("answered", answer.head.status);
    }

    /** Ends the request at its deadline; the answer says no more than is known. */
    private expire(): void {
        if (this.phase === "settled") {
            return;
        }
        this.refuse(describeDeadline(this.offered.length > 0 || this.phase === "sent"));
        this.cancelHop("timeout");
    }

    /** The caller has gone; what may be repeated is broken off. */
    private abandon(): void {
        if (this.phase === "settled") {
            return;
        }
        this.phase = "settled";
        this.release("abandoned", 0);
        this.cancelHop("cancelled");
    }

    private refuse(problem: Problem): void {
        this.phase = "settled";
        if (this.nested) {
            this.parts.shedding.recordRefusedCall();
            if (this.route) {
                this.parts.shedding.recordCall(this.route.name, 1);
            }
        }
        const { request } = this;
        sendProblem(request.sink, problem, request.hasUnreadBody() ? ["Connection", "close"] : []);
        this.log("request-refused", {
            status: problem.status,
            reason: problem.reason,
            detail: problem.detail,
            elapsedMs: Math.round(this.parts.readNowMs() - this.startedAtMs),
        });
        this.release(problem.reason, problem.status);
    }

    private release(outcome: string, status: number): void {
        const { wheel, metrics, readNowMs } = this.parts;
        wheel.remove(this.deadline);
        metrics.countAnswer(this.route?.name ?? "none", outcome, status, readNowMs() - this.startedAtMs);
        this.onSettled();
    }

    private log(event: string, fields: Readonly<Record<string, string | number>>): void {
        this.parts.log.write(event, {
            request: this.requestId,
            route: this.route?.name ?? "none",
            version: this.parts.routing.version,
            nested: this.nested,
            offered: this.offered.join(","),
            refusedBy: this.refusing.join(","),
            ...fields,
        });
    }
}

/** Removes headers that the next hop sets itself, whatever the sender has put into them. */
const removeHeaders = (rawHeaders: readonly string[], names: readonly string[]): readonly string[] => {
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (!names.includes(rawHeaders[index]!.toLowerCase())) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
};
