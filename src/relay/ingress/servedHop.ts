/** Runs one request at the local upstream: waits for a slot, sends the request and collects the answer. */
import { firstServerErrorStatus } from "../../constants";
import { computeCongestion } from "../../decisions/computeCongestion";
import { type AnswerHead, type AnswerSink, DiscardingSink } from "../../tasks/_lib/answerSink";
import { Attempt, type AttemptHandler, type AttemptResult, type Dispatch, sendAttempt } from "../../tasks/_lib/attempt";
import { findHeader, noHeaders, stripHeaders } from "../../tasks/_lib/headers";
import { type Timeout, type TimerWheel } from "../../tasks/_lib/timerWheel";
import { AnswerBuffer } from "../_lib/answerBuffer";
import { type ActiveRequest, type ActiveRequests, computeNestedCongestion } from "../activeRequests";
import { type SlotGrant, type SlotQueue, type SlotRequest } from "../slotQueue";
import { type HeaderNames, type HopHandler, type HopRequest, type HopResult, type NotRunReason } from "../types";

/** Components and callbacks that all served requests share. */
export interface ServedHopDependencies {
    readonly headerNames: HeaderNames;
    readonly upstream: Dispatch;
    readonly slots: SlotQueue;
    readonly wheel: TimerWheel;
    readonly readNowMs: () => number;
    /** Whether the request must not run because it has crashed upstreams. */
    readonly isQuarantined: (hopRequest: HopRequest) => boolean;
    /** Called when no connection to the upstream was opened, or one was lost after the request was sent (`wasSent`). */
    readonly onConnectionLost: (hopRequest: HopRequest, wasSent: boolean) => void;
    /** Called when a connection to the upstream has carried the answer to another request. */
    readonly onForeignAnswer: () => void;
    /** Called with the headers of each answer of the upstream. */
    readonly onAnswerHead: (rawHeaders: readonly string[]) => void;
    /** Called when the upstream has answered the request completely. */
    readonly onAnswered: (hopRequest: HopRequest) => void;
    readonly activeRequests: ActiveRequests;
    /** Whether the upstream runs no new requests because it or its node is leaving. */
    readonly isLeaving: () => boolean;
}

/** Statistics of one request at the local upstream. */
export interface HopStats {
    /** Congestion from the wait for a slot or from the nested calls, whichever is higher; 0 to 1. */
    readonly congestion: number;
    /** Number of nested calls at all depths. */
    readonly nestedCalls: number;
}

/** Statistics for the head of a streamed answer, when the final ones are not known yet. */
export const emptyHopStats: HopStats = { congestion: 0, nestedCalls: 0 };

/** Minimum time until the deadline for a request to be sent to the upstream, in milliseconds. */
const minAttemptMs = 5;
/** Time by which the deadline sent to the upstream is earlier, so that its answer arrives in time, in milliseconds. */
const answerReturnMarginMs = 5;
/**
 * Time after the deadline at which the connection to the upstream is closed, in milliseconds. An upstream stops by
 * itself at the deadline, unless it is in such trouble that it sends bytes without end.
 */
const overdueAbortMs = 500;
/** An upstream answers with this status if the target header of the request holds the id of another upstream. */
const misdirectedStatus = 421;
const identityEncodings: ReadonlySet<string> = new Set(["", "identity"]);

/** Runs one request at the local upstream and reports the result to the handler. */
export class ServedHop implements SlotRequest, AttemptHandler {
    readonly route: string;
    readonly nested: boolean;
    readonly rank: number;
    readonly targetLatencyMs: number;
    readonly deadlineAtMs: number;
    private cancelWait: () => void = () => undefined;
    private attempt: Attempt | undefined;
    private readonly buffer: AnswerBuffer;
    private head: AnswerHead | undefined;
    private isForeignAnswer = false;
    private isSettled = false;
    private activeRequest: ActiveRequest | undefined;
    private grant: SlotGrant | undefined;
    private queuedAtMs = 0;
    private isStreaming = false;
    private isCancelled = false;
    private overdueTimeout: Timeout | undefined;

    constructor(
        private readonly hopRequest: HopRequest,
        private readonly handler: HopHandler,
        private readonly dependencies: ServedHopDependencies,
    ) {
        this.route = hopRequest.route;
        this.nested = hopRequest.nested;
        this.rank = hopRequest.rank;
        this.targetLatencyMs = hopRequest.targetLatencyMs;
        this.deadlineAtMs = hopRequest.deadlineAtMs;
        this.buffer = new AnswerBuffer(head => this.openStream(head));
    }

    start(): void {
        if (this.computeRemainingMs() < minAttemptMs) {
            this.settle({ kind: "not-run", reason: "expired" });
            return;
        }
        if (this.dependencies.isQuarantined(this.hopRequest)) {
            this.settle({ kind: "not-run", reason: "quarantined" });
            return;
        }
        this.queuedAtMs = this.dependencies.readNowMs();
        this.cancelWait = this.dependencies.slots.schedule(this);
    }

    /** Returns the number of nested calls, and the higher congestion of these calls and of the wait for a slot. */
    computeStats(): HopStats {
        const { activeRequest, grant } = this;
        const waitCongestion = grant ? computeCongestion(grant.startedAtMs - this.queuedAtMs, this.targetLatencyMs) : 0;
        if (!activeRequest) {
            return { congestion: waitCongestion, nestedCalls: 0 };
        }
        return {
            congestion: Math.max(waitCongestion, computeNestedCongestion(activeRequest)),
            nestedCalls: activeRequest.nestedCalls,
        };
    }

    /**
     * Cancels the request because its sender no longer waits for the answer. A request at the upstream is aborted only
     * if it is idempotent or its answer is being streamed. Any other request continues, so that the upstream does not
     * leave it half executed.
     */
    cancel(): void {
        if (this.isSettled) {
            return;
        }
        this.isCancelled = true;
        if (!this.attempt) {
            this.cancelWait();
            this.settle({ kind: "not-run", reason: "expired" });
            return;
        }
        if (this.hopRequest.idempotent || this.isStreaming) {
            this.attempt.abort("cancelled");
        }
    }

    refuse(reason: "full" | "expired" | "leaving"): void {
        this.settle({ kind: "not-run", reason });
    }

    run(grant: SlotGrant): void {
        this.grant = grant;
        const isLeaving = this.dependencies.isLeaving();
        if (isLeaving || this.computeRemainingMs() < minAttemptMs) {
            this.releaseSlot(false);
            this.settle({ kind: "not-run", reason: isLeaving ? "leaving" : "expired" });
            return;
        }
        const { method, path, body, idempotent } = this.hopRequest;
        const rawHeaders = this.createUpstreamHeaders();
        this.activeRequest = this.dependencies.activeRequests.add(this.hopRequest);
        this.attempt = new Attempt(method, this, true);
        this.overdueTimeout = this.dependencies.wheel.add(
            this.computeRemainingMs() + overdueAbortMs,
            () => this.abortOverdue(),
        );
        sendAttempt(this.dependencies.upstream, { method, path, rawHeaders, body, idempotent }, this.attempt);
    }

    startAnswer(head: AnswerHead, isReused: boolean): AnswerSink | undefined {
        if (!this.isOwnAnswer(head, isReused)) {
            this.isForeignAnswer = true;
            this.dependencies.onForeignAnswer();
            this.attempt!.abort("unframed");
            return undefined;
        }
        this.head = { status: head.status, rawHeaders: stripHeaders(head.rawHeaders, noHeaders) };
        this.dependencies.onAnswerHead(this.head.rawHeaders);
        this.buffer.start(this.head);
        return this.buffer;
    }

    finish(result: AttemptResult): void {
        this.dependencies.wheel.remove(this.overdueTimeout);
        this.releaseSlot(result.kind === "answered");
        this.dependencies.activeRequests.remove(this.hopRequest.requestId, this.activeRequest!);
        if (result.kind === "answered") {
            this.dependencies.onAnswered(this.hopRequest);
        }
        else if (result.cause === "connection") {
            this.dependencies.onConnectionLost(this.hopRequest, result.kind === "incomplete");
        }
        this.settle(this.deriveResult(result));
    }

    /** Opens the stream of an answer that is too long to buffer. Without a sender it is not a stream: nobody ends it. */
    private openStream(head: AnswerHead): AnswerSink {
        if (this.isCancelled) {
            return new DiscardingSink();
        }
        this.isStreaming = true;
        return this.handler.openStream(head);
    }

    /** Closes the connection of an overdue request. A stream ends with its caller, whose deadline may be later. */
    private abortOverdue(): void {
        if (!this.isStreaming) {
            this.attempt!.abort("timeout");
        }
    }

    private deriveResult(result: AttemptResult): HopResult {
        if (result.kind === "unsent") {
            return { kind: "not-run", reason: result.cause === "connection" ? "down" : "expired" };
        }
        const reason = this.head && this.findNotRunReason(this.head);
        if (reason) {
            return { kind: "not-run", reason };
        }
        if (result.kind === "incomplete") {
            return { kind: "may-have-run", cause: this.isForeignAnswer ? "foreign-answer" : result.cause };
        }
        const head = this.head!;
        const nestedCallRefused = head.status >= firstServerErrorStatus
            && this.activeRequest?.nestedCallRefused === true;
        return { kind: "answered", head, body: this.buffer.takeBody(), nestedCallRefused };
    }

    private findNotRunReason(head: AnswerHead): NotRunReason | undefined {
        if (head.status === misdirectedStatus) {
            return "moved";
        }
        return findHeader(head.rawHeaders, this.dependencies.headerNames.notRun) === undefined ? undefined : "rejected";
    }

    /** Whether an answer belongs to the request. A refusal without an id may be a late copy unless it is the first answer. */
    private isOwnAnswer(head: AnswerHead, isReused: boolean): boolean {
        const id = findHeader(head.rawHeaders, this.dependencies.headerNames.requestId);
        if (id === undefined && this.findNotRunReason(head)) {
            return !isReused;
        }
        const encoding = findHeader(head.rawHeaders, "content-encoding") ?? "";
        return (id ?? "") === this.hopRequest.requestId && identityEncodings.has(encoding);
    }

    private createUpstreamHeaders(): string[] {
        const { headerNames } = this.dependencies;
        const { rawHeaders, upstreamId, callerService } = this.hopRequest;
        const remainingMs = Math.max(1, Math.floor(this.computeRemainingMs() - answerReturnMarginMs));
        return [
            ...rawHeaders,
            headerNames.deadline,
            String(remainingMs),
            headerNames.target,
            upstreamId,
            headerNames.callerService,
            callerService,
        ];
    }

    private computeRemainingMs(): number {
        return this.deadlineAtMs - this.dependencies.readNowMs();
    }

    private releaseSlot(isAnswered: boolean): void {
        this.dependencies.slots.release(this.grant!, this, isAnswered);
    }

    private settle(result: HopResult): void {
        if (this.isSettled) {
            return;
        }
        this.isSettled = true;
        this.handler.settle(result, undefined);
    }
}
