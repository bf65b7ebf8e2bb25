/** One call on its way to another node, over as many attempts as its allowance permits. */
import { chooseInstance, countWithCapacity, type InstanceCandidate } from "../../decisions/chooseInstance";
import { computeBackoff } from "../../decisions/computeBackoff";
import { type AttemptOutcome, decideRetry } from "../../decisions/decideRetry";
import { type Address, type Outcome } from "../../types";
import { type AnswerHead, type AnswerSink, StartedSink } from "../_lib/answerSink";
import { Attempt, type AttemptHandler, type AttemptResult, sendAttempt } from "../_lib/attempt";
import {
    actionHeader,
    findHeader,
    leavingHeader,
    loadHeader,
    nestedCallRefusedHeader,
    unusedRetriesHeader,
} from "../_lib/headers";
import { type Problem, sendProblem } from "../_lib/problem";
import { type RequestBody } from "../_lib/readBody";
import { type Timeout } from "../_lib/timerWheel";
import { type Call } from "../types";
import {
    createAnswerHeaders,
    createRequestHeaders,
    describeBreak,
    describeNoInstance,
    endByOutcome,
    readCount,
    readLoad,
    readOutcome,
} from "./exchange";
import { type ForwarderDependencies } from "./index";

/** A call to be forwarded. */
export interface ForwardOrder {
    /** The call whose retry allowance pays for this one. */
    readonly payer: Call;
    /** Whether the target serves the payer itself, and so gets its whole allowance. */
    readonly inPlaceOfPayer: boolean;
    readonly service: string;
    readonly deadlineAtMs: number;
    readonly importance: Call["importance"];
    readonly method: string;
    readonly path: string;
    /** Headers to pass on, without hop-by-hop ones. */
    readonly rawHeaders: readonly string[];
    readonly body: RequestBody;
    /** Whether repeating the request does no harm. */
    readonly retryable: boolean;
    /** The only endpoint that may serve the request, if there is one. */
    readonly home: string | undefined;
    readonly sink: AnswerSink;
    /** Called once, with the outcome as it was told. */
    readonly finish: (outcome: Outcome) => void;
}

/** Owns the state of one forwarded call. */
export class ForwardedCall implements AttemptHandler {
    private readonly tried: string[] = [];
    private target: InstanceCandidate | undefined;
    private attempt: Attempt | undefined;
    private attempts = 0;
    private granted = 0;
    /** Wait before the retry that is planned, in milliseconds. */
    private backoffMs = 0;
    private mayHaveRun = false;
    private answerOutcome: Outcome | undefined;
    private retryPlanned = false;
    private finished = false;
    private deadline: Timeout | undefined;
    private backoff: Timeout | undefined;

    constructor(private readonly order: ForwardOrder, private readonly dependencies: ForwarderDependencies) {}

    start(): void {
        const remainingMs = this.computeRemainingMs();
        this.deadline = this.dependencies.wheel.add(remainingMs, () => this.expire());
        this.startNext();
    }

    /** Gives the call up because nobody waits for its answer. */
    cancel(): void {
        if (this.finished) {
            return;
        }
        this.settle(this.attempt || this.mayHaveRun ? "may-have-run" : "not-run");
        this.attempt?.abort("cancelled");
    }

    takeAnswer(head: AnswerHead): AnswerSink | undefined {
        if (this.finished) {
            return undefined;
        }
        this.readEvidence(head);
        const outcome = readOutcome(head);
        const nestedCallRefused = findHeader(head.rawHeaders, nestedCallRefusedHeader) !== undefined;
        if (this.tryRetry(endByOutcome[outcome], nestedCallRefused)) {
            this.mayHaveRun ||= outcome !== "not-run";
            return undefined;
        }
        if (outcome === "not-run" || nestedCallRefused) {
            this.dependencies.ledger.recordNestedCallRefused(this.order.payer.id);
        }
        this.answerOutcome = this.computeToldOutcome(outcome);
        this.order.sink.start({
            status: head.status,
            rawHeaders: createAnswerHeaders(head, this.answerOutcome, this.order.payer.action),
        });
        return new StartedSink(this.order.sink);
    }

    finish(result: AttemptResult): void {
        this.endAttempt();
        if (this.finished) {
            return;
        }
        if (result.kind === "answered") {
            this.finishAnswered();
            return;
        }
        if (result.kind === "broken" && result.passedOn) {
            this.settle("may-have-run");
            return;
        }
        this.finishWithoutAnswer(result);
    }

    private finishAnswered(): void {
        if (!this.retryPlanned) {
            this.settle(this.answerOutcome ?? "may-have-run");
            return;
        }
        this.startRetry();
    }

    private finishWithoutAnswer(result: Exclude<AttemptResult, { readonly kind: "answered"; }>): void {
        const isUnsent = result.kind === "unsent";
        if (result.cause === "connection") {
            this.dependencies.directory.recordUnreachable(this.target!.endpoint);
        }
        if (isUnsent) {
            this.dependencies.ledger.releaseRetries(this.order.payer.id, this.granted, this.granted);
        }
        if (result.cause === "connection" && this.tryRetry(isUnsent ? "unsent" : "unknown")) {
            this.mayHaveRun ||= !isUnsent;
            this.startRetry();
            return;
        }
        this.mayHaveRun ||= !isUnsent;
        const outcome = this.mayHaveRun ? "may-have-run" : this.computeToldOutcome("not-run");
        this.refuse(describeBreak(result.cause, outcome, this.target!.endpoint));
    }

    private startNext(): void {
        this.target = this.chooseTarget();
        const instance = this.target && this.dependencies.directory.findInstance(this.target.endpoint);
        if (!instance) {
            this.refuse(describeNoInstance(this.order, this.computeToldOutcome("not-run")));
            return;
        }
        this.startAttempt(instance.peer);
    }

    private startAttempt(address: Address): void {
        this.attempts += 1;
        this.tried.push(this.target!.endpoint);
        this.dependencies.directory.recordSent(this.target!.endpoint);
        const { payer, inPlaceOfPayer } = this.order;
        const { ledger } = this.dependencies;
        this.granted = inPlaceOfPayer ? ledger.takeAllRetries(payer.id) : ledger.splitRetries(payer.id);
        const { method, path, body } = this.order;
        this.attempt = new Attempt(method, this);
        sendAttempt(
            this.dependencies.peers.open(address),
            {
                method,
                path,
                rawHeaders: createRequestHeaders(this.order, {
                    remainingMs: this.computeRemainingMs(),
                    retries: this.granted,
                    node: this.dependencies.endpoint,
                }),
                body,
            },
            this.attempt,
        );
    }

    private chooseTarget(): InstanceCandidate | undefined {
        const candidates = this.listCandidates();
        if (this.order.home !== undefined) {
            return candidates[0];
        }
        return chooseInstance(candidates, {
            failureDomain: this.dependencies.failureDomain,
            tried: this.tried,
            randoms: [this.dependencies.sampleRandom(), this.dependencies.sampleRandom()],
        });
    }

    private listCandidates(): readonly InstanceCandidate[] {
        const candidates = this.dependencies.directory.listCandidates(this.order.service);
        const { home } = this.order;
        return home === undefined ? candidates : candidates.filter(candidate => candidate.endpoint === home);
    }

    private tryRetry(end: AttemptOutcome, nestedCallRefused = false): boolean {
        const backoffMs = computeBackoff(this.attempts, this.dependencies.sampleRandom());
        if (end === "completed") {
            return false;
        }
        const isHomed = this.order.home !== undefined;
        const candidates = countWithCapacity(this.listCandidates(), isHomed ? [] : this.tried);
        const isAllowed = decideRetry({
            outcome: end,
            recorded: isHomed,
            nestedCallRefused,
            retryable: this.order.retryable,
            replayable: this.order.body === undefined || Buffer.isBuffer(this.order.body),
            retriesLeft: this.dependencies.ledger.countRetries(this.order.payer.id),
            candidateCount: candidates,
            remainingMs: this.computeRemainingMs(),
            backoffMs,
        });
        this.retryPlanned = isAllowed && this.dependencies.ledger.takeRetry(this.order.payer.id);
        this.backoffMs = backoffMs;
        return this.retryPlanned;
    }

    private startRetry(): void {
        this.retryPlanned = false;
        this.dependencies.metrics.countRetry(this.order.service);
        this.backoff = this.dependencies.wheel.add(this.backoffMs, () => this.startNext());
    }

    private expire(): void {
        if (this.attempt) {
            this.attempt.abort("timeout");
            return;
        }
        const outcome = this.computeToldOutcome("not-run");
        this.refuse({
            status: 504,
            reason: "deadline-exceeded",
            outcome,
            detail: "the deadline passed between two attempts",
        });
    }

    private readEvidence(head: AnswerHead): void {
        const load = readLoad(findHeader(head.rawHeaders, loadHeader));
        const isLeaving = findHeader(head.rawHeaders, leavingHeader) !== undefined;
        this.dependencies.directory.recordAnswer(this.target!.endpoint, load, isLeaving);
        const unused = readCount(findHeader(head.rawHeaders, unusedRetriesHeader));
        this.dependencies.ledger.releaseRetries(this.order.payer.id, this.granted, unused);
    }

    /** A request is told as not run only if no earlier attempt may have run it, and at its home, if it has one. */
    private computeToldOutcome(outcome: Outcome): Outcome {
        if (outcome !== "not-run") {
            return outcome;
        }
        const isVouchedFor = this.order.home === undefined ? !this.mayHaveRun : this.attempt !== undefined;
        return isVouchedFor ? "not-run" : "may-have-run";
    }

    private computeRemainingMs(): number {
        return Math.max(0, this.order.deadlineAtMs - this.dependencies.clock.readMonotonicMs());
    }

    private endAttempt(): void {
        if (this.attempt && this.target) {
            this.dependencies.directory.recordEnded(this.target.endpoint);
        }
        this.attempt = undefined;
    }

    private refuse(problem: Problem): void {
        if (this.finished) {
            return;
        }
        this.settle(problem.outcome);
        sendProblem(this.order.sink, problem, [actionHeader, this.order.payer.action]);
    }

    private settle(outcome: Outcome): void {
        this.finished = true;
        this.dependencies.wheel.remove(this.deadline);
        this.dependencies.wheel.remove(this.backoff);
        this.order.finish(outcome);
    }
}
