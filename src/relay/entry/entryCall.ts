/** One request from its arrival at this node to its final answer. */
import { chooseUpstream } from "../../decisions/chooseUpstream";
import { decideRepeat } from "../../decisions/decideRepeat";
import { type Route } from "../../routing/types";
import { type AnswerHead, type AnswerSink, DiscardingSink, StartedSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader } from "../../tasks/_lib/headers";
import { type Problem, sendProblem } from "../../tasks/_lib/problem";
import { type RequestBody } from "../../tasks/_lib/readBody";
import { type Timeout } from "../../tasks/_lib/timerWheel";
import { sendAnswer } from "../ingress";
import { type ActiveRequest, recordCallAnswer } from "../activeRequests";
import { type HopOrder, type HopOwner, type HopResult, type LoadReport, type NotRunReason } from "../types";
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
/** Share of the remaining time after which a second sending comes too late. */
const latestHedgeShare = 0.6;
const firstServerError = 500;
const unreachableReasons: ReadonlySet<NotRunReason> = new Set(["unreachable", "down", "moved"]);

/** One sending of the request to a node. */
interface ActiveHop {
    readonly upstreamId: string;
    cancel: (cause: "timeout" | "cancelled" | "connection") => void;
}

type Answer = Extract<HopResult, { readonly kind: "answered"; }>;

/** Owns the state of one request. */
export class EntryCall {
    private readonly startedAtMs: number;
    private readonly requestId: string;
    /** The request for which the local upstream makes this call, if it is one. */
    private readonly parent: ActiveRequest | undefined;
    private readonly nested: boolean;
    private route: Route | undefined;
    private service = "";
    private body: RequestBody;
    private rawHeaders: readonly string[] = [];
    private deadlineAtMs = 0;
    private isSettled = false;
    /** Upstreams that the request has been sent to, and nodes that have refused it. */
    private readonly offered: string[] = [];
    private readonly refusing: string[] = [];
    private mayHaveRun = false;
    /** The last answer of an upstream, passed on when a repeat brings nothing better. */
    private fallback: Answer | undefined;
    private readonly hops = new Set<ActiveHop>();
    private deadline: Timeout | undefined;
    private hedge: Timeout | undefined;
    private sentAtMs = 0;

    constructor(
        private readonly request: CallRequest,
        private readonly parts: EntryParts,
        private readonly onSettled: () => void,
    ) {
        this.startedAtMs = parts.readNowMs();
        this.requestId = findHeader(request.rawHeaders, parts.names.requestId) ?? "";
        this.parent = parts.activeRequests.findParent(this.requestId);
        this.nested = this.parent !== undefined;
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
        const allowedMs = this.computeAllowedMs(this.route) - this.parts.readStaleMs();
        if (allowedMs <= 0) {
            this.refuse(describeDeadline(false));
            return;
        }
        this.deadlineAtMs = this.startedAtMs + allowedMs;
        if (!this.nested && !shedding.admit(this.route.name, this.route.rank, host + this.request.url)) {
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
            if (this.isSettled) {
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

    private computeAllowedMs(route: Route): number {
        const stated = Number(findHeader(this.request.rawHeaders, this.parts.names.deadline));
        const deadlineMs = Number.isFinite(stated) && stated > 0 ? stated : defaultDeadlineMs;
        return Math.min(deadlineMs, route.timeoutMs);
    }

    private sendFirst(body: RequestBody): void {
        const { names, routing, budgets } = this.parts;
        const route = this.route!;
        this.body = body;
        this.rawHeaders = removeHeaders(
            createForwardHeaders(this.request, body, true),
            [names.deadline, names.target, names.callerService],
        );
        this.service = routing.takeService(route);
        budgets.recordRequest(this.service);
        if (!this.sendNext(false)) {
            this.refuse(describeNoUpstream(this.service));
            return;
        }
        this.planHedge();
    }

    /** Sends the request to the best upstream that has not had it; false when there is none. */
    private sendNext(isRepeat: boolean): boolean {
        const { directory, sampleRandom, readNowMs } = this.parts;
        const route = this.route!;
        const underWay = [...this.hops].map(({ upstreamId }) => upstreamId);
        const candidates = directory.listCandidates(this.service, [...this.offered, ...this.refusing, ...underWay]);
        const chosen = chooseUpstream(candidates, {
            domainPenaltyMs: domainPenaltyShare * route.targetLatencyMs,
            mayExplore: route.idempotent && !isRepeat,
            randoms: [sampleRandom(), sampleRandom()],
        });
        if (!chosen) {
            return false;
        }
        if (isRepeat) {
            this.parts.metrics.countRepeat(this.service);
            this.log("request-repeated", {
                upstream: chosen.id,
                elapsedMs: Math.round(readNowMs() - this.startedAtMs),
                pending: underWay.join(","),
            });
        }
        this.startHop(chosen.id);
        return true;
    }

    private startHop(upstreamId: string): void {
        const { directory, sendHop, readNowMs } = this.parts;
        const hop: ActiveHop = { upstreamId, cancel: () => undefined };
        this.hops.add(hop);
        this.sentAtMs = readNowMs();
        directory.recordSent(upstreamId);
        const owner: HopOwner = {
            openStream: head => this.openStream(hop, head),
            settle: (result, report) => this.settleHop(hop, result, report),
        };
        hop.cancel = sendHop(this.createOrder(upstreamId), owner);
    }

    private openStream(hop: ActiveHop, head: AnswerHead): AnswerSink {
        if (this.isSettled) {
            return new DiscardingSink();
        }
        this.request.sink.start(head);
        this.isSettled = true;
        this.release("streamed", head.status);
        this.cancelHops("cancelled", hop);
        return new StartedSink(this.request.sink);
    }

    private settleHop(hop: ActiveHop, result: HopResult, report: LoadReport | undefined): void {
        this.hops.delete(hop);
        this.parts.directory.recordEnded(hop.upstreamId);
        if (report) {
            this.takeReport(hop.upstreamId, report);
        }
        if (this.isSettled) {
            return;
        }
        this.recordResult(hop.upstreamId, result);
        if (this.trySendAgain(result) || this.hops.size > 0 && !isSuccess(result)) {
            return;
        }
        this.finish(hop.upstreamId, result);
    }

    /** Sends the request on after a result that is not its final one; false when there is nothing to be tried. */
    private trySendAgain(result: HopResult): boolean {
        const decision = decideRepeat({
            result,
            idempotent: this.route!.idempotent,
            upstreamsTried: this.offered.length + this.hops.size,
            maxUpstreams: this.route!.maxUpstreams,
            refusals: this.refusing.length,
            remainingMs: this.deadlineAtMs - this.parts.readNowMs(),
            expectedMs: minRepeatMs,
        });
        if (decision === "give-up" || !this.isReplayable()) {
            return false;
        }
        return decision === "move" ? this.sendNext(false) : this.tryRepeat();
    }

    private tryRepeat(): boolean {
        return this.parts.budgets.tryTake(this.service, this.nested) && this.sendNext(true);
    }

    private isReplayable(): boolean {
        return this.body === undefined || Buffer.isBuffer(this.body);
    }

    /** Plans a second sending for the case that the first one is not answered in the time that is usual. */
    private planHedge(): void {
        const route = this.route!;
        const delayMs = this.parts.answerTimes.computeHedgeDelay(route.name);
        const remainingMs = this.deadlineAtMs - this.parts.readNowMs();
        const isUseful = delayMs !== undefined && delayMs < remainingMs * latestHedgeShare;
        if (!isUseful || !route.idempotent || route.maxUpstreams < 2 || !this.isReplayable()) {
            return;
        }
        this.hedge = this.parts.wheel.add(delayMs, () => {
            const isAlone = this.hops.size === 1 && this.offered.length === 0;
            if (!this.isSettled && isAlone && this.parts.shedding.isCalm(route.name, this.nested)) {
                this.tryRepeat();
            }
        });
    }

    private cancelHops(cause: "timeout" | "cancelled", except?: ActiveHop): void {
        [...this.hops].filter(hop => hop !== except).forEach(hop => hop.cancel(cause));
    }

    private createOrder(upstreamId: string): HopOrder {
        const route = this.route!;
        return {
            requestId: this.requestId,
            method: this.request.method,
            path: this.request.url,
            rawHeaders: this.rawHeaders,
            body: this.body,
            route: route.name,
            callerService: this.parts.readService(),
            upstreamId,
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
        if (this.parent) {
            recordCallAnswer(this.parent, report.congestion);
            this.parts.shedding.recordCall(route.name, report.congestion);
            return;
        }
        this.parts.shedding.recordAnswer(route.name, route.rank, report.congestion);
    }

    private recordResult(upstreamId: string, result: HopResult): void {
        const isUnreached = result.kind === "not-run" && result.reason !== "rejected" && result.reason !== "moved";
        (isUnreached ? this.refusing : this.offered).push(upstreamId);
        if (result.kind === "not-run" && unreachableReasons.has(result.reason)) {
            this.parts.directory.recordFailure(upstreamId);
        }
        if (isSuccess(result)) {
            this.parts.answerTimes.record(this.route!.name, this.parts.readNowMs() - this.sentAtMs);
        }
        this.mayHaveRun ||= result.kind !== "not-run";
        this.fallback = result.kind === "answered" ? result : this.fallback;
    }

    private finish(upstreamId: string, result: HopResult): void {
        const answer = result.kind === "answered" ? result : this.fallback;
        if (answer?.body) {
            this.isSettled = true;
            sendAnswer(this.request.sink, this.request.method, answer.head, answer.body);
            this.release("answered", answer.head.status);
            this.cancelHops("cancelled");
            return;
        }
        const returnDelayMs = this.route!.targetLatencyMs / 4 * (1 + this.parts.sampleRandom());
        this.refuse(describeHopFailure(result, this.mayHaveRun, upstreamId, returnDelayMs));
    }

    /** Ends the request at its deadline; the answer says no more than is known. */
    private expire(): void {
        if (this.isSettled) {
            return;
        }
        this.refuse(describeDeadline(this.offered.length > 0 || this.hops.size > 0));
        this.cancelHops("timeout");
    }

    /** The caller has gone; what may be repeated is broken off. */
    private abandon(): void {
        if (this.isSettled) {
            return;
        }
        this.isSettled = true;
        this.release("abandoned", 0);
        this.cancelHops("cancelled");
    }

    private refuse(problem: Problem): void {
        this.isSettled = true;
        if (this.parent) {
            this.parent.hasRefusedCall = true;
            this.parts.shedding.recordCall(this.route?.name ?? "", 1);
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
        wheel.remove(this.hedge);
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

const isSuccess = (result: HopResult): boolean =>
    result.kind === "answered" && result.head.status < firstServerError;

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
