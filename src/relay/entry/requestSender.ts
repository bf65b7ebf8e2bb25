/** Sends one request to upstreams until one of them has answered it or no further attempt is allowed. */
import { chooseUpstream } from "../../decisions/chooseUpstream";
import { decideNextAttempt, isReroutable } from "../../decisions/decideNextAttempt";
import { type Route } from "../../routing/types";
import { type AnswerHead, type AnswerSink, DiscardingSink } from "../../tasks/_lib/answerSink";
import { findHeader } from "../../tasks/_lib/headers";
import { type Timeout } from "../../tasks/_lib/timerWheel";
import { type BudgetedRequest } from "../_lib/retryBudgets";
import { type ActiveRequest, recordNestedAnswer } from "../activeRequests";
import { leavingValue } from "../announcements";
import { type LogFields } from "../log";
import { type HopHandler, type HopRequest, type HopResult, type LoadReport, type NotRunReason } from "../types";
import { type EntryDependencies } from "./index";
import { isSuccess, judgeOutcome } from "./judgeOutcome";

/** A request with its route, the service that receives it and the request that caused it. */
export interface SendInput {
    readonly route: Route;
    readonly service: string;
    /** The request that the local upstream was serving when it sent this nested one; undefined for a direct request. */
    readonly parent: ActiveRequest | undefined;
    /** Fields that are the same for all hops. */
    readonly request: Omit<HopRequest, "upstreamId" | "isRetry">;
    readonly startedAtMs: number;
}

/** Result of a request after all its hops. */
export interface SendResult {
    /** Successful answer; if there is none, the last error answer; if there is no answer at all, the last result. */
    readonly result: HopResult;
    /** Id of the upstream whose hop ended last. */
    readonly upstreamId: string;
    /** Whether an upstream has run or may have run the request. */
    readonly mayHaveRun: boolean;
}

/** Receives the answer or the result of a request, and writes its log lines. */
export interface SendHandler {
    /** Called when an answer is too long to be buffered; returns the sink that receives it. */
    openStream(head: AnswerHead): AnswerSink;
    /** Called once with the result, unless the request was cancelled or its answer goes to the sink of `openStream`. */
    finish(result: SendResult): void;
    writeLog(event: string, fields: LogFields): void;
}

type CancelCause = "timeout" | "cancelled";

/** A hop that has no result yet. */
interface ActiveHop {
    readonly upstreamId: string;
    /** Start of the upstream's incarnation, in milliseconds since 1970. */
    readonly bornAtMs: number;
    readonly sentAtMs: number;
    /** Whether an earlier hop may have reached an upstream. */
    readonly isRetry: boolean;
    cancel: (cause: CancelCause) => void;
}

type Answer = Extract<HopResult, { readonly kind: "answered"; }>;

/** Additional expected latency that is accepted to stay within the failure domain, as a share of the target latency. */
const domainPenaltyShare = 0.1;
/** Minimum remaining time for a further attempt, in milliseconds. */
const minAttemptMs = 30;
/** Maximum delay of a hedged request, as a share of the time until the deadline. Later hedges are not scheduled. */
const maxHedgeDelayShare = 0.6;

/** Sends one request over one or more hops: the first, reroutes, retries and at most one hedge. */
export class RequestSender {
    /** Ids of the upstreams that ended hops have reached or may have reached. */
    private readonly triedUpstreamIds: string[] = [];
    /** Ids of the upstreams that ended hops did not reach, for example because the node refused the request. */
    private readonly unreachedUpstreamIds: string[] = [];
    private readonly hops = new Set<ActiveHop>();
    private mayHaveRun = false;
    /** Last answer of an upstream; it becomes the result if no later attempt succeeds. */
    private fallbackAnswer: Answer | undefined;
    private hedgeTimeout: Timeout | undefined;
    private isFinished = false;

    constructor(
        private readonly input: SendInput,
        private readonly handler: SendHandler,
        private readonly dependencies: EntryDependencies,
    ) {}

    /** Starts the first hop and schedules a hedge; returns false if no upstream is available. */
    start(): boolean {
        const { route, parent } = this.input;
        this.dependencies.retryBudgets.recordRequest(route.name, this.describeForBudget(), parent?.isRetry === true);
        if (!this.sendNext(false)) {
            return false;
        }
        this.scheduleHedge();
        return true;
    }

    /** Cancels the request without a call to the handler. Returns whether an upstream may have received the request. */
    cancel(cause: CancelCause): boolean {
        this.isFinished = true;
        this.dependencies.wheel.remove(this.hedgeTimeout);
        const wasSent = this.triedUpstreamIds.length > 0 || this.hops.size > 0;
        this.cancelHops(cause);
        return wasSent;
    }

    /** Sends a hop to a chosen upstream. A rerouted retry is still one, but is counted only once. */
    private sendNext(isRetry: boolean, isReroute = false): boolean {
        const { directory, sampleRandom, readNowMs, metrics } = this.dependencies;
        const { route, service, startedAtMs } = this.input;
        const pendingUpstreamIds = [...this.hops].map(({ upstreamId }) => upstreamId);
        const excludedIds = [...this.triedUpstreamIds, ...this.unreachedUpstreamIds, ...pendingUpstreamIds];
        const chosen = chooseUpstream(directory.sampleCandidates(service, excludedIds, sampleRandom), {
            domainPenaltyMs: domainPenaltyShare * route.targetLatencyMs,
            failurePenaltyMs: route.targetLatencyMs,
            sampleRandom,
        });
        if (!chosen) {
            return false;
        }
        if (isRetry && !isReroute) {
            metrics.countRetry(service);
            this.handler.writeLog("request-repeated", {
                upstream: chosen.id,
                offered: this.triedUpstreamIds.join(","),
                pending: pendingUpstreamIds.join(","),
                elapsedMs: Math.round(readNowMs() - startedAtMs),
            });
        }
        this.startHop(chosen.id, isRetry);
        return true;
    }

    private startHop(upstreamId: string, isRetry: boolean): void {
        const { directory, sendHop, readNowMs } = this.dependencies;
        const bornAtMs = directory.find(upstreamId)?.bornAtMs ?? -Infinity;
        const hop: ActiveHop = { upstreamId, bornAtMs, sentAtMs: readNowMs(), isRetry, cancel: () => undefined };
        this.hops.add(hop);
        directory.recordSent(upstreamId);
        const handler: HopHandler = {
            openStream: head => this.openStream(hop, head),
            settle: (result, report) => this.settleHop(hop, result, report),
        };
        const { request, parent } = this.input;
        hop.cancel = sendHop({ ...request, upstreamId, isRetry: isRetry || parent?.isRetry === true }, handler);
    }

    private openStream(hop: ActiveHop, head: AnswerHead): AnswerSink {
        this.recordHead(hop, head);
        if (this.isFinished) {
            return new DiscardingSink();
        }
        this.isFinished = true;
        this.dependencies.wheel.remove(this.hedgeTimeout);
        this.cancelHops("cancelled", hop);
        return this.handler.openStream(head);
    }

    private settleHop(hop: ActiveHop, result: HopResult, report: LoadReport | undefined): void {
        this.hops.delete(hop);
        this.dependencies.directory.recordEnded(hop.upstreamId);
        if (report) {
            this.recordReport(hop.upstreamId, report);
        }
        if (result.kind === "answered") {
            this.recordHead(hop, result.head);
        }
        const outcome = judgeOutcome(result);
        if (outcome !== "unknown") {
            this.dependencies.directory.recordOutcome(hop.upstreamId, outcome === "failure");
        }
        if (this.isFinished) {
            return;
        }
        this.recordResult(hop, result, report);
        if (this.tryNextAttempt(result, hop.isRetry) || this.hops.size > 0 && !isSuccess(result)) {
            return;
        }
        this.isFinished = true;
        this.dependencies.wheel.remove(this.hedgeTimeout);
        this.cancelHops("cancelled");
        const { mayHaveRun } = this;
        this.handler.finish({
            result: isSuccess(result) ? result : this.fallbackAnswer ?? result,
            upstreamId: hop.upstreamId,
            mayHaveRun,
        });
    }

    /** Reroutes or retries the request after the result of a hop; returns false if no further attempt was started. */
    private tryNextAttempt(result: HopResult, isRetry: boolean): boolean {
        const { route, request } = this.input;
        const decision = decideNextAttempt({
            result,
            idempotent: route.idempotent,
            upstreamsTried: this.triedUpstreamIds.length + this.hops.size,
            maxUpstreams: route.maxUpstreams,
            unreachedCount: this.unreachedUpstreamIds.length,
            remainingMs: request.deadlineAtMs - this.dependencies.readNowMs(),
            expectedAnswerMs: minAttemptMs,
        });
        if (decision === "give-up" || !this.isReplayable()) {
            return false;
        }
        return decision === "reroute" ? this.sendNext(isRetry, true) : this.tryRetry();
    }

    private tryRetry(): boolean {
        const isPermitted = this.dependencies.retryBudgets.tryConsume(this.input.route.name, this.describeForBudget());
        return isPermitted && this.sendNext(true);
    }

    private describeForBudget(): BudgetedRequest {
        const { parent, request: { nested, rank } } = this.input;
        return { nested, rank, succeededSiblings: parent?.succeededNestedCalls ?? 0 };
    }

    private isReplayable(): boolean {
        const { body } = this.input.request;
        return body === undefined || Buffer.isBuffer(body);
    }

    /**
     * Schedules a hedged request for an idempotent request. It is sent if the first hop is still pending after the
     * usual answer time, the route is uncongested and the retry budget permits it.
     */
    private scheduleHedge(): void {
        const { route, request } = this.input;
        const delayMs = this.dependencies.answerTimes.computeHedgeDelay(route.name);
        const remainingMs = request.deadlineAtMs - this.dependencies.readNowMs();
        const isUseful = delayMs !== undefined && delayMs < remainingMs * maxHedgeDelayShare;
        if (this.isFinished || !isUseful || !route.idempotent || route.maxUpstreams < 2 || !this.isReplayable()) {
            return;
        }
        this.hedgeTimeout = this.dependencies.wheel.add(delayMs, () => {
            const isFirstHopPending = this.hops.size === 1 && this.triedUpstreamIds.length === 0;
            if (
                isFirstHopPending && this.dependencies.shedding.isUncongested(route.name, request.rank, request.nested)
            ) {
                this.tryRetry();
            }
        });
    }

    private cancelHops(cause: CancelCause, except?: ActiveHop): void {
        [...this.hops].filter(hop => hop !== except).forEach(hop => hop.cancel(cause));
    }

    /** Records what the head of an answer says of the upstream. */
    private recordHead({ upstreamId, bornAtMs }: ActiveHop, { rawHeaders }: AnswerHead): void {
        const { headerNames, directory } = this.dependencies;
        if (findHeader(rawHeaders, headerNames.upstreamLeaving) === leavingValue) {
            directory.recordLeaving({ id: upstreamId, bornAtMs });
        }
    }

    private recordReport(upstreamId: string, report: LoadReport): void {
        const { route, request, parent } = this.input;
        this.dependencies.directory.recordReport(upstreamId, report);
        if (parent) {
            recordNestedAnswer(parent, report);
            this.dependencies.shedding.recordNestedAnswer(route.name, report.congestion);
            return;
        }
        this.dependencies.shedding.recordAnswer(route.name, request.rank, report.congestion);
    }

    private recordResult({ upstreamId, sentAtMs }: ActiveHop, result: HopResult, report: LoadReport | undefined): void {
        (isReroutable(result) ? this.unreachedUpstreamIds : this.triedUpstreamIds).push(upstreamId);
        if (result.kind === "not-run") {
            this.recordNotRun(upstreamId, result.reason);
        }
        if (isSuccess(result)) {
            const { route: { name }, parent } = this.input;
            if (parent) {
                parent.succeededNestedCalls += 1;
            }
            this.dependencies.answerTimes.record(name, this.dependencies.readNowMs() - sentAtMs);
            if (report) {
                this.dependencies.retryBudgets.recordAnswer(name, this.input.request.nested, report);
            }
        }
        this.mayHaveRun ||= result.kind !== "not-run";
        this.fallbackAnswer = result.kind === "answered" ? result : this.fallbackAnswer;
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
