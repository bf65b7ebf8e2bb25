/** Sends one request to upstreams until one of them has answered it or nothing more may be tried. */
import { firstServerErrorStatus } from "../../constants";
import { chooseUpstream } from "../../decisions/chooseUpstream";
import { decideNextAttempt, isReroutable } from "../../decisions/decideNextAttempt";
import { type Route } from "../../routing/types";
import { type AnswerHead, type AnswerSink, DiscardingSink } from "../../tasks/_lib/answerSink";
import { type Timeout } from "../../tasks/_lib/timerWheel";
import { type ActiveRequest, recordCallAnswer } from "../activeRequests";
import { type LogFields } from "../log";
import { type HopHandler, type HopRequest, type HopResult, type LoadReport, type NotRunReason } from "../types";
import { type EntryDependencies } from "./index";

/** A request that is to be sent. */
export interface SendingOrder {
    readonly route: Route;
    readonly service: string;
    /** The request for which the local upstream makes this call, if it is one. */
    readonly parent: ActiveRequest | undefined;
    /** All that is the same for each upstream that it is sent to. */
    readonly request: Omit<HopRequest, "upstreamId" | "isRetry">;
    readonly startedAtMs: number;
}

/** How the sending of a request ended. */
export interface SendingEnd {
    readonly result: HopResult;
    /** Upstream that the result comes from. */
    readonly upstreamId: string;
    /** Whether any attempt may have run the request. */
    readonly mayHaveRun: boolean;
}

/** Whoever has the request sent. */
export interface SendingHandler {
    /** Asked when an answer is too long to be kept whole; returns where it goes. */
    openStream(head: AnswerHead): AnswerSink;
    /** Told once how it ended, unless an answer went to a stream. */
    finish(end: SendingEnd): void;
    writeLog(event: string, fields: LogFields): void;
}

type CancelCause = "timeout" | "cancelled";

/** One sending of the request to a node. */
interface ActiveHop {
    readonly upstreamId: string;
    readonly sentAtMs: number;
    cancel: (cause: CancelCause) => void;
}

type Answer = Extract<HopResult, { readonly kind: "answered"; }>;

/** Share of the target latency that a longer expected answer may cost to stay within the failure domain. */
const domainPenaltyShare = 0.1;
/** Time below which a request is not sent once more, in milliseconds. */
const minRetryMs = 30;
/** Share of the remaining time after which a second sending comes too late. */
const latestHedgeShare = 0.6;

/** Owns the attempts of one request. */
export class Sending {
    /** Upstreams that the request has been sent to, and nodes that have refused it. */
    private readonly offered: string[] = [];
    private readonly refusing: string[] = [];
    private readonly hops = new Set<ActiveHop>();
    private mayHaveRun = false;
    /** The last answer of an upstream, passed on when a repeat brings nothing better. */
    private fallback: Answer | undefined;
    private hedge: Timeout | undefined;
    private isFinished = false;

    constructor(
        private readonly order: SendingOrder,
        private readonly handler: SendingHandler,
        private readonly dependencies: EntryDependencies,
    ) {}

    /** Sends the request to the best upstream; false when there is none. */
    start(): boolean {
        const { route, parent } = this.order;
        this.dependencies.budgets.recordRequest(route.name, parent?.isRetry === true);
        if (!this.sendNext(false)) {
            return false;
        }
        this.planHedge();
        return true;
    }

    /** Gives the request up; nobody is told of its end any more. Returns whether an upstream may have got it. */
    cancel(cause: CancelCause): boolean {
        this.isFinished = true;
        this.dependencies.wheel.remove(this.hedge);
        const isOffered = this.offered.length > 0 || this.hops.size > 0;
        this.cancelHops(cause);
        return isOffered;
    }

    private sendNext(isRetry: boolean): boolean {
        const { directory, sampleRandom, readNowMs, metrics } = this.dependencies;
        const { route, service, startedAtMs } = this.order;
        const underWay = [...this.hops].map(({ upstreamId }) => upstreamId);
        const candidates = directory.listCandidates(service, [...this.offered, ...this.refusing, ...underWay]);
        const chosen = chooseUpstream(candidates, {
            domainPenaltyMs: domainPenaltyShare * route.targetLatencyMs,
            mayExplore: route.idempotent && !isRetry,
            randoms: [sampleRandom(), sampleRandom()],
        });
        if (!chosen) {
            return false;
        }
        if (isRetry) {
            metrics.countRetry(service);
            this.handler.writeLog("request-repeated", {
                upstream: chosen.id,
                offered: this.offered.join(","),
                pending: underWay.join(","),
                elapsedMs: Math.round(readNowMs() - startedAtMs),
            });
        }
        this.startHop(chosen.id, isRetry);
        return true;
    }

    private startHop(upstreamId: string, isRetry: boolean): void {
        const { directory, sendHop, readNowMs } = this.dependencies;
        const hop: ActiveHop = { upstreamId, sentAtMs: readNowMs(), cancel: () => undefined };
        this.hops.add(hop);
        directory.recordSent(upstreamId);
        const handler: HopHandler = {
            openStream: head => this.openStream(hop, head),
            settle: (result, report) => this.settleHop(hop, result, report),
        };
        const { request, parent } = this.order;
        hop.cancel = sendHop({ ...request, upstreamId, isRetry: isRetry || parent?.isRetry === true }, handler);
    }

    private openStream(hop: ActiveHop, head: AnswerHead): AnswerSink {
        if (this.isFinished) {
            return new DiscardingSink();
        }
        this.isFinished = true;
        this.dependencies.wheel.remove(this.hedge);
        this.cancelHops("cancelled", hop);
        return this.handler.openStream(head);
    }

    private settleHop(hop: ActiveHop, result: HopResult, report: LoadReport | undefined): void {
        this.hops.delete(hop);
        this.dependencies.directory.recordEnded(hop.upstreamId);
        if (report) {
            this.takeReport(hop.upstreamId, report);
        }
        if (this.isFinished) {
            return;
        }
        this.recordResult(hop, result, report);
        if (this.trySendAgain(result) || this.hops.size > 0 && !isSuccess(result)) {
            return;
        }
        this.isFinished = true;
        this.dependencies.wheel.remove(this.hedge);
        this.cancelHops("cancelled");
        const { mayHaveRun } = this;
        this.handler.finish({
            result: isSuccess(result) ? result : this.fallback ?? result,
            upstreamId: hop.upstreamId,
            mayHaveRun,
        });
    }

    /** Sends the request on after a result that is not its final one; false when there is nothing to be tried. */
    private trySendAgain(result: HopResult): boolean {
        const { route, request } = this.order;
        const decision = decideNextAttempt({
            result,
            idempotent: route.idempotent,
            upstreamsTried: this.offered.length + this.hops.size,
            maxUpstreams: route.maxUpstreams,
            refusals: this.refusing.length,
            remainingMs: request.deadlineAtMs - this.dependencies.readNowMs(),
            expectedMs: minRetryMs,
        });
        if (decision === "give-up" || !this.isReplayable()) {
            return false;
        }
        return decision === "reroute" ? this.sendNext(false) : this.tryRetry();
    }

    private tryRetry(): boolean {
        const { route, request } = this.order;
        return this.dependencies.budgets.tryTake(route.name, request.nested) && this.sendNext(true);
    }

    private isReplayable(): boolean {
        const { body } = this.order.request;
        return body === undefined || Buffer.isBuffer(body);
    }

    /** Plans a second sending for the case that the first one is not answered in the time that is usual. */
    private planHedge(): void {
        const { route, request } = this.order;
        const delayMs = this.dependencies.answerTimes.computeHedgeDelay(route.name);
        const remainingMs = request.deadlineAtMs - this.dependencies.readNowMs();
        const isUseful = delayMs !== undefined && delayMs < remainingMs * latestHedgeShare;
        if (this.isFinished || !isUseful || !route.idempotent || route.maxUpstreams < 2 || !this.isReplayable()) {
            return;
        }
        this.hedge = this.dependencies.wheel.add(delayMs, () => {
            const isAlone = this.hops.size === 1 && this.offered.length === 0;
            if (isAlone && this.dependencies.shedding.isCalm(route.name, request.nested)) {
                this.tryRetry();
            }
        });
    }

    private cancelHops(cause: CancelCause, except?: ActiveHop): void {
        [...this.hops].filter(hop => hop !== except).forEach(hop => hop.cancel(cause));
    }

    private takeReport(upstreamId: string, report: LoadReport): void {
        const { route, parent } = this.order;
        this.dependencies.directory.recordReport(upstreamId, report);
        if (parent) {
            recordCallAnswer(parent, report);
            this.dependencies.shedding.recordCall(route.name, report.congestion);
            return;
        }
        this.dependencies.shedding.recordAnswer(route.name, route.rank, report.congestion);
    }

    private recordResult({ upstreamId, sentAtMs }: ActiveHop, result: HopResult, report: LoadReport | undefined): void {
        (isReroutable(result) ? this.refusing : this.offered).push(upstreamId);
        if (result.kind === "not-run") {
            this.recordNotRun(upstreamId, result.reason);
        }
        if (isSuccess(result)) {
            const { name } = this.order.route;
            this.dependencies.answerTimes.record(name, this.dependencies.readNowMs() - sentAtMs);
            if (report) {
                this.dependencies.budgets.recordAnswer(name, this.order.request.nested, report);
            }
        }
        this.mayHaveRun ||= result.kind !== "not-run";
        this.fallback = result.kind === "answered" ? result : this.fallback;
    }

    private recordNotRun(upstreamId: string, reason: NotRunReason): void {
        if (reason === "moved") {
            this.dependencies.directory.recordMoved(upstreamId);
        }
        if (reason === "unreachable" || reason === "down") {
            this.dependencies.directory.recordFailure(upstreamId);
        }
    }
}

const isSuccess = (result: HopResult): boolean =>
    result.kind === "answered" && result.head.status < firstServerErrorStatus;
