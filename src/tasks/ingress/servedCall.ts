/** One request that the local upstream serves: its slot, its attempt, its answer. */
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
import { type Admission, type RefusalReason, type SlotApplicant, type SlotResult } from "../admission";
import { type Ledger } from "../ledger";
import { computeSuspectFingerprint, type Quarantine } from "../quarantine";
import { type Shedder } from "../shedder";
import { type Call, type RouteMatch } from "../types";
import { describeBreak, describeRefusal, findEntryRefusal, lateProblem, quarantinedProblem } from "./refusals";

/** What served calls share. */
export interface ServingDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly admission: Admission;
    readonly ledger: Ledger;
    readonly shedder: Shedder;
    readonly quarantine: Quarantine;
    readonly upstream: Dispatch;
    readonly isDraining: () => boolean;
}

/** A request to be served by the local upstream. */
export interface ServeOrder {
    readonly call: Call;
    readonly match: RouteMatch;
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: RequestBody;
    /** How often the request may be run, as far as its route says. */
    readonly kind: IdempotencyKind;
    /** Whether the answer goes to another node, which gets the figures for its decisions. */
    readonly forPeer: boolean;
    readonly sink: AnswerSink;
    /** Called once, with the outcome and the reason of the system's own answer, or "answered". */
    readonly finish: (outcome: Outcome, reason: string) => void;
}

const slotResultByOutcome: Readonly<Record<Outcome, SlotResult>> = {
    completed: "completed",
    failed: "completed",
    "not-run": "refused",
    "may-have-run": "refused",
};

/** Owns the state of one served request. */
export class ServedCall implements SlotApplicant, AttemptHandler {
    readonly importance: Importance;
    private withdraw: () => void = () => undefined;
    private attempt: Attempt | undefined;
    private deadline: Timeout | undefined;
    private outcome: Outcome | undefined;
    private finished = false;
    private ranAtMs = 0;

    constructor(private readonly order: ServeOrder, private readonly dependencies: ServingDependencies) {
        this.importance = order.call.importance;
    }

    start(): void {
        const remainingMs = this.computeRemainingMs();
        if (remainingMs < minForwardMs) {
            this.refuseLate();
            return;
        }
        const refusal = findEntryRefusal(this.order.call, this.order.match, this.dependencies);
        if (refusal) {
            this.refuseWith(refusal);
            return;
        }
        if (this.isQuarantined()) {
            this.refuseWith(quarantinedProblem);
            return;
        }
        this.deadline = this.dependencies.wheel.add(remainingMs, () => this.expire());
        this.withdraw = this.dependencies.admission.apply(this);
    }

    /** Gives the request up because nobody waits for its answer; the upstream is told by a broken connection. */
    cancel(): void {
        if (this.finished) {
            return;
        }
        this.withdraw();
        const { attempt } = this;
        if (!attempt) {
            this.settle("not-run", "cancelled");
            return;
        }
        attempt.abort("cancelled");
    }

    run(): void {
        this.ranAtMs = this.dependencies.clock.readMonotonicMs();
        if (this.computeRemainingMs() < minForwardMs) {
            this.releaseSlot("cancelled");
            this.refuseLate();
            return;
        }
        const { method, path, body } = this.order;
        this.dependencies.ledger.open(this.order.call);
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

    /** Milliseconds until the deadline. */
    computeRemainingMs(): number {
        return this.order.call.deadlineAtMs - this.dependencies.clock.readMonotonicMs();
    }

    takeAnswer(head: AnswerHead): AnswerSink | undefined {
        const stated = findHeader(head.rawHeaders, outcomeHeader);
        const { notRunStatuses } = this.order.match.servicePolicy;
        this.outcome = deriveOutcome({ status: head.status, stated, notRunStatuses });
        const nestedCallRefused = this.outcome !== "completed"
            && this.dependencies.ledger.isNestedCallRefused(this.order.call.id);
        this.dependencies.shedder.recordAnswer(this.order.match.route.name, this.importance, nestedCallRefused);
        const rawHeaders = this.createAnswerHeaders(head, this.outcome);
        if (nestedCallRefused && this.order.forPeer) {
            rawHeaders.push(nestedCallRefusedHeader, "1");
        }
        this.order.sink.start({ status: head.status, rawHeaders });
        return this.order.sink;
    }

    finish(result: AttemptResult): void {
        this.recordSurvival(result);
        if (result.kind === "answered") {
            const outcome = this.outcome!;
            this.releaseSlot(slotResultByOutcome[outcome]);
            this.settle(outcome, "answered");
            return;
        }
        this.releaseSlot(result.cause === "cancelled" ? "cancelled" : "refused");
        const outcome = result.kind === "unsent" ? "not-run" : "may-have-run";
        if (result.kind === "broken" && result.passedOn) {
            this.settle(outcome, "upstream-broke-off");
            return;
        }
        if (result.cause === "cancelled") {
            this.order.sink.abort();
            this.settle(outcome, "cancelled");
            return;
        }
        this.refuseWith(describeBreak(result.cause, outcome));
    }

    private releaseSlot(result: SlotResult): void {
        const durationMs = this.dependencies.clock.readMonotonicMs() - this.ranAtMs;
        this.dependencies.admission.release(this.importance, result, durationMs);
    }

    private isQuarantined(): boolean {
        const { quarantine } = this.dependencies;
        return !quarantine.isEmpty() && quarantine.isRefused(this.computeFingerprint(), this.order.kind);
    }

    /** Tells whether the upstream lived through the request; a streamed body can't be recognized again. */
    private recordSurvival(result: AttemptResult): void {
        const { quarantine } = this.dependencies;
        const { body } = this.order;
        if (body !== undefined && !Buffer.isBuffer(body)) {
            return;
        }
        if (result.kind === "broken" && result.cause === "connection") {
            quarantine.recordCrash(this.computeFingerprint());
            return;
        }
        if (result.kind === "answered" && !quarantine.isEmpty()) {
            quarantine.recordAnswer(this.computeFingerprint());
        }
    }

    private computeFingerprint(): string {
        const { call, method, path, body } = this.order;
        return computeSuspectFingerprint({
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
        this.withdraw();
        this.refuseLate();
    }

    private refuseLate(): void {
        this.refuseWith(lateProblem);
    }

    private refuseWith(problem: Problem): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        const headers = this.createOwnHeaders();
        if (problem.reason === "shed" && this.order.forPeer) {
            headers.push(nestedCallRefusedHeader, "1");
        }
        sendProblem(this.order.sink, problem, headers);
        this.settle(problem.outcome, problem.reason);
    }

    private settle(outcome: Outcome, reason: string): void {
        this.finished = true;
        this.dependencies.wheel.remove(this.deadline);
        this.dependencies.ledger.close(this.order.call.id);
        this.order.finish(outcome, reason);
    }

    private createRequestHeaders(): string[] {
        const { call } = this.order;
        return [
            ...this.order.rawHeaders,
            "host",
            this.order.match.service,
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
        headers.push(outcomeHeader, outcome, ...this.createOwnHeaders());
        return headers;
    }

    private createOwnHeaders(): string[] {
        const { call, forPeer } = this.order;
        const headers = [actionHeader, call.action];
        if (this.dependencies.isDraining()) {
            headers.push(leavingHeader, "1", "Connection", "close");
        }
        if (forPeer) {
            const unused = this.attempt ? this.dependencies.ledger.takeAllRetries(call.id) : call.retries;
            headers.push(unusedRetriesHeader, String(unused));
            headers.push(loadHeader, this.dependencies.admission.computeLoad().toFixed(2));
        }
        return headers;
    }
}
