/** Serves one request at the local upstream: waits for a slot, makes one attempt and forwards the answer. */
import { minForwardMs, refusalRetryAfterSeconds } from "../../constants";
import { deriveOutcome } from "../../decisions/deriveOutcome";
import { type IdempotencyKind } from "../../decisions/isQuarantined";
import { type Importance, type Outcome } from "../../types";
import { type AnswerHead, type AnswerSink } from "../_lib/answerSink";
import { Attempt, type AttemptHandler, type AttemptResult, type Dispatch, sendAttempt } from "../_lib/attempt";
import { type Clock } from "../_lib/clock";
import {
    actionHeader,
    callHeader,
    deadlineHeader,
    findHeader,
    leavingHeader,
    loadHeader,
    nestedCallRefusedHeader,
    noHeaders,
    outcomeHeader,
    stripHeaders,
    unusedRetriesHeader,
} from "../_lib/headers";
import { type Problem, sendProblem } from "../_lib/problem";
import { type RequestBody } from "../_lib/readBody";
import { type Timeout, type TimerWheel } from "../_lib/timerWheel";
import { type Admission, type RefusalReason, type SlotRequest, type SlotResult } from "../admission";
import { type CallLedger } from "../callLedger";
import { computeRequestFingerprint, type Quarantine } from "../quarantine";
import { type Shedder } from "../shedder";
import { type Call, type RouteMatch } from "../types";
import {
    deadlineExceededProblem,
    describeFailure,
    describeRefusal,
    findEntryRefusal,
    quarantinedProblem,
} from "./refusals";

/** Tasks of the node that all served calls share. */
export interface ServedCallDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly admission: Admission;
    readonly ledger: CallLedger;
    readonly shedder: Shedder;
    readonly quarantine: Quarantine;
    /** Connection pool of the local upstream. */
    readonly upstream: Dispatch;
    readonly isDraining: () => boolean;
}

/** Request to be served by the local upstream. */
export interface ServeRequest {
    readonly call: Call;
    readonly match: RouteMatch;
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: RequestBody;
    /** Whether the request is idempotent, keyed or neither; determines after how many crashes it is quarantined. */
    readonly kind: IdempotencyKind;
    /** Whether the answer goes to another node. Such an answer states load, unused retries and refused nested calls. */
    readonly forPeer: boolean;
    readonly sink: AnswerSink;
    /** Called once with the outcome and a reason: "answered", or why the upstream gave no complete answer. */
    readonly finish: (outcome: Outcome, reason: string) => void;
}

const slotResultByOutcome: Readonly<Record<Outcome, SlotResult>> = {
    completed: "completed",
    failed: "completed",
    "not-run": "refused",
    "may-have-run": "refused",
};

/** Serves one request; refuses it if it is shed, quarantined or gets no slot, or if its attempt fails. */
export class ServedCall implements SlotRequest, AttemptHandler {
    readonly importance: Importance;
    private cancelWait: () => void = () => undefined;
    private attempt: Attempt | undefined;
    private deadline: Timeout | undefined;
    private outcome: Outcome | undefined;
    private finished = false;
    private startedAtMs = 0;

    constructor(private readonly request: ServeRequest, private readonly dependencies: ServedCallDependencies) {
        this.importance = request.call.importance;
    }

    start(): void {
        const remainingMs = this.computeRemainingMs();
        if (remainingMs < minForwardMs) {
            this.refuseExpired();
            return;
        }
        const refusal = findEntryRefusal(this.request.call, this.request.match, this.dependencies);
        if (refusal) {
            this.refuseWith(refusal);
            return;
        }
        if (this.isQuarantined()) {
            this.refuseWith(quarantinedProblem);
            return;
        }
        this.deadline = this.dependencies.wheel.add(remainingMs, () => this.expire());
        this.cancelWait = this.dependencies.admission.schedule(this);
    }

    /** Cancels the request when its sender no longer waits; notifies the upstream by closing the connection. */
    cancel(): void {
        if (this.finished) {
            return;
        }
        this.cancelWait();
        const { attempt } = this;
        if (!attempt) {
            this.settle("not-run", "cancelled");
            return;
        }
        attempt.abort("cancelled");
    }

    run(): void {
        this.startedAtMs = this.dependencies.clock.readMonotonicMs();
        if (this.computeRemainingMs() < minForwardMs) {
            this.releaseSlot("cancelled");
            this.refuseExpired();
            return;
        }
        const { method, path, body } = this.request;
        this.dependencies.ledger.open(this.request.call);
        this.attempt = new Attempt(method, this);
        sendAttempt(
            this.dependencies.upstream,
            { method, path, rawHeaders: this.createRequestHeaders(), body },
            this.attempt,
        );
    }

    refuse(reason: RefusalReason): void {
        this.refuseWith(describeRefusal(reason));
    }

    /** Computes the time until the deadline, in milliseconds; negative once it has passed. */
    computeRemainingMs(): number {
        return this.request.call.deadlineAtMs - this.dependencies.clock.readMonotonicMs();
    }

    startAnswer(head: AnswerHead): AnswerSink | undefined {
        const statedOutcome = findHeader(head.rawHeaders, outcomeHeader);
        const { notRunStatuses } = this.request.match.servicePolicy;
        this.outcome = deriveOutcome({ status: head.status, statedOutcome, notRunStatuses });
        const nestedCallRefused = this.outcome !== "completed"
            && this.dependencies.ledger.isNestedCallRefused(this.request.call.id);
        this.dependencies.shedder.recordAnswer(this.request.match.route.name, this.importance, nestedCallRefused);
        const rawHeaders = this.createAnswerHeaders(head, this.outcome);
        if (nestedCallRefused && this.request.forPeer) {
            rawHeaders.push(nestedCallRefusedHeader, "1");
        }
        this.request.sink.start({ status: head.status, rawHeaders });
        return this.request.sink;
    }

    finish(result: AttemptResult): void {
        this.updateQuarantine(result);
        if (result.kind === "answered") {
            const outcome = this.outcome!;
            this.releaseSlot(slotResultByOutcome[outcome]);
            this.settle(outcome, "answered");
            return;
        }
        this.releaseSlot(result.cause === "cancelled" ? "cancelled" : "refused");
        const outcome = result.kind === "unsent" ? "not-run" : "may-have-run";
        if (result.kind === "incomplete" && result.forwarded) {
            this.settle(outcome, "upstream-broke-off");
            return;
        }
        if (result.cause === "cancelled") {
            this.request.sink.abort();
            this.settle(outcome, "cancelled");
            return;
        }
        this.refuseWith(describeFailure(result.cause, outcome));
    }

    private releaseSlot(result: SlotResult): void {
        const serviceMs = this.dependencies.clock.readMonotonicMs() - this.startedAtMs;
        this.dependencies.admission.release(this.importance, result, serviceMs);
    }

    private isQuarantined(): boolean {
        const { quarantine } = this.dependencies;
        return !quarantine.isEmpty() && quarantine.isQuarantined(this.computeFingerprint(), this.request.kind);
    }

    /** Records a crash or an answer of the upstream for the quarantine; a streamed body has no fingerprint. */
    private updateQuarantine(result: AttemptResult): void {
        const { quarantine } = this.dependencies;
        const { body } = this.request;
        if (body !== undefined && !Buffer.isBuffer(body)) {
            return;
        }
        if (result.kind === "incomplete" && result.cause === "connection") {
            quarantine.recordCrash(this.computeFingerprint());
            return;
        }
        if (result.kind === "answered" && !quarantine.isEmpty()) {
            quarantine.recordAnswer(this.computeFingerprint());
        }
    }

    private computeFingerprint(): string {
        const { call, method, path, body } = this.request;
        return computeRequestFingerprint({
            caller: call.caller,
            method,
            path,
            body: Buffer.isBuffer(body) ? body : undefined,
        });
    }

    private expire(): void {
        if (this.attempt) {
            this.attempt.abort("timeout");
            return;
        }
        this.cancelWait();
        this.refuseExpired();
    }

    private refuseExpired(): void {
        this.refuseWith(deadlineExceededProblem);
    }

    private refuseWith(problem: Problem): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        const headers = this.createNodeHeaders();
        if (problem.reason === "shed" && this.request.forPeer) {
            headers.push(nestedCallRefusedHeader, "1");
        }
        sendProblem(this.request.sink, problem, headers);
        this.settle(problem.outcome, problem.reason);
    }

    private settle(outcome: Outcome, reason: string): void {
        this.finished = true;
        this.dependencies.wheel.remove(this.deadline);
        this.dependencies.ledger.close(this.request.call.id);
        this.request.finish(outcome, reason);
    }

    private createRequestHeaders(): string[] {
        const { call } = this.request;
        return [
            ...this.request.rawHeaders,
            "host",
            this.request.match.service,
            actionHeader,
            call.action,
            callHeader,
            call.id,
            deadlineHeader,
            String(Math.floor(this.computeRemainingMs())),
        ];
    }

    private createAnswerHeaders(head: AnswerHead, outcome: Outcome): string[] {
        const headers = stripHeaders(head.rawHeaders, noHeaders);
        if (outcome === "not-run" && findHeader(headers, "retry-after") === undefined) {
            headers.push("Retry-After", String(refusalRetryAfterSeconds));
        }
        headers.push(outcomeHeader, outcome, ...this.createNodeHeaders());
        return headers;
    }

    private createNodeHeaders(): string[] {
        const { call, forPeer } = this.request;
        const headers = [actionHeader, call.action];
        if (this.dependencies.isDraining()) {
            headers.push(leavingHeader, "1", "Connection", "close");
        }
        if (forPeer) {
            const unusedRetries = this.attempt ? this.dependencies.ledger.takeAllRetries(call.id) : call.retryAllowance;
            headers.push(unusedRetriesHeader, String(unusedRetries));
            headers.push(loadHeader, this.dependencies.admission.computeLoad().toFixed(2));
        }
        return headers;
    }
}
