/** One request at the local upstream: its slot, its attempt, its answer. */
import { firstServerErrorStatus } from "../../constants";
import { computeCongestion } from "../../decisions/computeCongestion";
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { Attempt, type AttemptHandler, type AttemptResult, type Dispatch, sendAttempt } from "../../tasks/_lib/attempt";
import { findHeader, noHeaders, stripHeaders } from "../../tasks/_lib/headers";
import { AnswerBuffer } from "../_lib/answerBuffer";
import { type ActiveRequest, type ActiveRequests, computeCallCongestion } from "../activeRequests";
import { type SlotApplicant, type SlotGrant, type SlotQueue } from "../slotQueue";
import { type HeaderNames, type HopHandler, type HopRequest, type HopResult, type NotRunReason } from "../types";

/** What served requests share. */
export interface ServedHopDependencies {
    readonly names: HeaderNames;
    readonly upstream: Dispatch;
    readonly slots: SlotQueue;
    readonly readNowMs: () => number;
    /** Whether the request is not to be run, since upstreams have died of it. */
    readonly isQuarantined: (hopRequest: HopRequest) => boolean;
    /** Told when the upstream's connection broke off during a request, or none could be opened. */
    readonly onUpstreamLost: (hopRequest: HopRequest, sent: boolean) => void;
    /** Told when a connection to the upstream has carried an answer to another request. */
    readonly onForeignAnswer: () => void;
    /** Told when the upstream has answered. */
    readonly onAnswered: (hopRequest: HopRequest) => void;
    readonly activeRequests: ActiveRequests;
    /** Whether the upstream takes no new work, since it or its node is leaving. */
    readonly isLeaving: () => boolean;
}

/** What the calls of one request have met. */
export interface CallFigures {
    /** 0 to 1. */
    readonly congestion: number;
    /** Number of calls, over all levels below. */
    readonly calls: number;
}

/** Figures of a request without calls. */
export const noCalls: CallFigures = { congestion: 0, calls: 0 };

/** Less time than this is not worth an attempt, in milliseconds. */
const minAttemptMs = 5;
/** Time that the upstream's last word needs to get back, in milliseconds. */
const answerMarginMs = 5;
const misdirectedStatus = 421;
const plainEncodings: ReadonlySet<string> = new Set(["", "identity"]);

/** Owns the state of one request at the local upstream. */
export class ServedHop implements SlotApplicant, AttemptHandler {
    readonly route: string;
    readonly nested: boolean;
    readonly rank: number;
    readonly targetLatencyMs: number;
    readonly deadlineAtMs: number;
    private withdraw: () => void = () => undefined;
    private attempt: Attempt | undefined;
    private readonly buffer: AnswerBuffer;
    private head: AnswerHead | undefined;
    private isForeign = false;
    private settled = false;
    private active: ActiveRequest | undefined;
    private grant: SlotGrant | undefined;
    private appliedAtMs = 0;

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
        this.buffer = new AnswerBuffer(head => handler.openStream(head));
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
        this.appliedAtMs = this.dependencies.readNowMs();
        this.withdraw = this.dependencies.slots.apply(this);
    }

    /** Describes what the request has met: its own wait for a slot, and what its calls have met. */
    describeMet(): CallFigures {
        const { active, grant } = this;
        const waiting = grant ? computeCongestion(grant.startedAtMs - this.appliedAtMs, this.targetLatencyMs) : 0;
        if (!active) {
            return { congestion: waiting, calls: 0 };
        }
        return { congestion: Math.max(waiting, computeCallCongestion(active)), calls: active.allCalls };
    }

    /**
     * Told that nobody waits for the answer. Work that may be repeated is broken off; what must not run twice goes on to
     * its end, so that the upstream is not left with half of it.
     */
    cancel(): void {
        if (this.settled) {
            return;
        }
        if (!this.attempt) {
            this.withdraw();
            this.settle({ kind: "not-run", reason: "expired" });
            return;
        }
        if (this.hopRequest.idempotent) {
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
        const rawHeaders = this.createHeaders();
        this.active = this.dependencies.activeRequests.add(this.hopRequest);
        this.attempt = new Attempt(method, this, true);
        sendAttempt(this.dependencies.upstream, { method, path, rawHeaders, body, idempotent }, this.attempt);
    }

    startAnswer(head: AnswerHead): AnswerSink | undefined {
        if (!this.isOwnAnswer(head)) {
            this.isForeign = true;
            this.dependencies.onForeignAnswer();
            this.attempt!.abort("unframed");
            return undefined;
        }
        this.head = { status: head.status, rawHeaders: stripHeaders(head.rawHeaders, noHeaders) };
        this.buffer.start(this.head);
        return this.buffer;
    }

    finish(result: AttemptResult): void {
        this.releaseSlot(result.kind === "answered");
        this.dependencies.activeRequests.remove(this.hopRequest.requestId, this.active!);
        if (result.kind === "answered") {
            this.dependencies.onAnswered(this.hopRequest);
        }
        else if (result.cause === "connection") {
            this.dependencies.onUpstreamLost(this.hopRequest, result.kind === "incomplete");
        }
        this.settle(this.deriveResult(result));
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
            return { kind: "may-have-run", cause: this.isForeign ? "foreign-answer" : result.cause };
        }
        const head = this.head!;
        const nestedCallRefused = head.status >= firstServerErrorStatus && this.active?.hasRefusedCall === true;
        return { kind: "answered", head, body: this.buffer.takeBody(), nestedCallRefused };
    }

    private findNotRunReason(head: AnswerHead): NotRunReason | undefined {
        if (head.status === misdirectedStatus) {
            return "moved";
        }
        return findHeader(head.rawHeaders, this.dependencies.names.notRun) === undefined ? undefined : "rejected";
    }

    private isOwnAnswer(head: AnswerHead): boolean {
        const id = findHeader(head.rawHeaders, this.dependencies.names.requestId);
        if (id === undefined && this.findNotRunReason(head)) {
            return true;
        }
        const encoding = findHeader(head.rawHeaders, "content-encoding") ?? "";
        return (id ?? "") === this.hopRequest.requestId && plainEncodings.has(encoding);
    }

    private createHeaders(): string[] {
        const { names } = this.dependencies;
        const { rawHeaders, upstreamId, callerService } = this.hopRequest;
        const remainingMs = Math.max(1, Math.floor(this.computeRemainingMs() - answerMarginMs));
        return [
            ...rawHeaders,
            names.deadline,
            String(remainingMs),
            names.target,
            upstreamId,
            names.callerService,
            callerService,
        ];
    }

    private computeRemainingMs(): number {
        return this.deadlineAtMs - this.dependencies.readNowMs();
    }

    private releaseSlot(answered: boolean): void {
        this.dependencies.slots.release(this.grant!, this, answered);
    }

    private settle(result: HopResult): void {
        if (this.settled) {
            return;
        }
        this.settled = true;
        this.handler.settle(result, undefined);
    }
}
