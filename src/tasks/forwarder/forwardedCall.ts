/** Forwards one call to its target service; retries, which the retry allowance limits, may go to other instances. */
import { chooseInstance, countAvailableInstances, type InstanceCandidate } from "../../decisions/chooseInstance";
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
    attemptOutcomeByOutcome,
    createAnswerHeaders,
    createRequestHeaders,
    describeFailure,
    describeNoInstance,
    parseCount,
    parseLoad,
    readOutcome,
} from "./exchange";
import { type ForwarderDependencies } from "./index";

export interface ForwardRequest {
    /** Call whose retry allowance is charged for the retries. */
    readonly chargedCall: Call;
    /** Whether the request is the charged call itself, so that its target gets all retries, or a call nested in it. */
    readonly isChargedCall: boolean;
    readonly service: string;
    readonly deadlineAtMs: number;
    readonly importance: Call["importance"];
    readonly method: string;
    readonly path: string;
    /** End-to-end headers, as a flat list of names and values. */
    readonly rawHeaders: readonly string[];
    readonly body: RequestBody;
    /** Whether the request may be sent again after an attempt that may have run it. */
    readonly retryable: boolean;
    /** Endpoint that alone may serve a keyed request; undefined for a request without a key. */
    readonly home: string | undefined;
    readonly sink: AnswerSink;
    /** Called once with the outcome, when the call has been answered, refused or cancelled. */
    readonly onFinished: (outcome: Outcome) => void;
}

/** Makes the attempts of a call until it is answered, refused or cancelled. */
export class ForwardedCall implements AttemptHandler {
    private readonly triedEndpoints: string[] = [];
    private target: InstanceCandidate | undefined;
    private attempt: Attempt | undefined;
    private attemptCount = 0;
    private grantedRetries = 0;
    private backoffMs = 0;
    private mayHaveRun = false;
    private answerOutcome: Outcome | undefined;
    private retryPlanned = false;
    private finished = false;
    private deadline: Timeout | undefined;
    private backoff: Timeout | undefined;

    constructor(private readonly request: ForwardRequest, private readonly dependencies: ForwarderDependencies) {}

    start(): void {
        const remainingMs = this.computeRemainingMs();
        this.deadline = this.dependencies.wheel.add(remainingMs, () => this.expire());
        this.startNextAttempt();
    }

    /** Cancels the call when its sender no longer waits for the answer. */
    cancel(): void {
        if (this.finished) {
            return;
        }
        this.settle(this.attempt || this.mayHaveRun ? "may-have-run" : "not-run");
        this.attempt?.abort("cancelled");
    }

    startAnswer(head: AnswerHead): AnswerSink | undefined {
        if (this.finished) {
            return undefined;
        }
        this.recordAnswerHeaders(head);
        const outcome = readOutcome(head);
        const nestedCallRefused = findHeader(head.rawHeaders, nestedCallRefusedHeader) !== undefined;
        if (this.tryRetry(attemptOutcomeByOutcome[outcome], nestedCallRefused)) {
            this.mayHaveRun ||= outcome !== "not-run";
            return undefined;
        }
        if (outcome === "not-run" || nestedCallRefused) {
            this.dependencies.ledger.recordNestedCallRefused(this.request.chargedCall.id);
        }
        this.answerOutcome = this.computeStatedOutcome(outcome);
        this.request.sink.start({
            status: head.status,
            rawHeaders: createAnswerHeaders(head, this.answerOutcome, this.request.chargedCall.action),
        });
        return new StartedSink(this.request.sink);
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
        if (result.kind === "incomplete" && result.forwarded) {
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
            this.dependencies.ledger.releaseRetries(
                this.request.chargedCall.id,
                this.grantedRetries,
                this.grantedRetries,
            );
        }
        if (result.cause === "connection" && this.tryRetry(isUnsent ? "unsent" : "unknown")) {
            this.mayHaveRun ||= !isUnsent;
            this.startRetry();
            return;
        }
        this.mayHaveRun ||= !isUnsent;
        const outcome = this.mayHaveRun ? "may-have-run" : this.computeStatedOutcome("not-run");
        this.refuse(describeFailure(result.cause, outcome, this.target!.endpoint));
    }

    private startNextAttempt(): void {
        this.target = this.chooseTarget();
        const instance = this.target && this.dependencies.directory.findInstance(this.target.endpoint);
        if (!instance) {
            this.refuse(describeNoInstance(this.request, this.computeStatedOutcome("not-run")));
            return;
        }
        this.startAttempt(instance.peer);
    }

    private startAttempt(address: Address): void {
        this.attemptCount += 1;
        this.triedEndpoints.push(this.target!.endpoint);
        this.dependencies.directory.recordSent(this.target!.endpoint);
        const { chargedCall, isChargedCall } = this.request;
        const { ledger } = this.dependencies;
        this.grantedRetries = isChargedCall
            ? ledger.takeAllRetries(chargedCall.id)
            : ledger.splitRetries(chargedCall.id);
        const { method, path, body } = this.request;
        this.attempt = new Attempt(method, this);
        sendAttempt(
            this.dependencies.peerPools.open(address),
            {
                method,
                path,
                rawHeaders: createRequestHeaders(this.request, {
                    remainingMs: this.computeRemainingMs(),
                    grantedRetries: this.grantedRetries,
                    endpoint: this.dependencies.endpoint,
                }),
                body,
            },
            this.attempt,
        );
    }

    private chooseTarget(): InstanceCandidate | undefined {
        const candidates = this.listCandidates();
        if (this.request.home !== undefined) {
            return candidates[0];
        }
        return chooseInstance(candidates, {
            failureDomain: this.dependencies.failureDomain,
            triedEndpoints: this.triedEndpoints,
            randoms: [this.dependencies.sampleRandom(), this.dependencies.sampleRandom()],
        });
    }

    private listCandidates(): readonly InstanceCandidate[] {
        const candidates = this.dependencies.directory.listCandidates(this.request.service);
        const { home } = this.request;
        return home === undefined ? candidates : candidates.filter(candidate => candidate.endpoint === home);
    }

    /** Plans a retry if one is allowed, and charges it to the retry allowance; returns whether it is planned. */
    private tryRetry(outcome: AttemptOutcome, nestedCallRefused = false): boolean {
        const backoffMs = computeBackoff(this.attemptCount, this.dependencies.sampleRandom());
        if (outcome === "completed") {
            return false;
        }
        const hasHome = this.request.home !== undefined;
        const candidateCount = countAvailableInstances(this.listCandidates(), hasHome ? [] : this.triedEndpoints);
        const isAllowed = decideRetry({
            outcome,
            outcomeRecorded: hasHome,
            nestedCallRefused,
            retryable: this.request.retryable,
            replayable: this.request.body === undefined || Buffer.isBuffer(this.request.body),
            retriesLeft: this.dependencies.ledger.countRetriesLeft(this.request.chargedCall.id),
            candidateCount,
            remainingMs: this.computeRemainingMs(),
            backoffMs,
        });
        this.retryPlanned = isAllowed && this.dependencies.ledger.takeRetry(this.request.chargedCall.id);
        this.backoffMs = backoffMs;
        return this.retryPlanned;
    }

    private startRetry(): void {
        this.retryPlanned = false;
        this.dependencies.metrics.countRetry(this.request.service);
        this.backoff = this.dependencies.wheel.add(this.backoffMs, () => this.startNextAttempt());
    }

    private expire(): void {
        if (this.attempt) {
            this.attempt.abort("timeout");
            return;
        }
        const outcome = this.computeStatedOutcome("not-run");
        this.refuse({
            status: 504,
            reason: "deadline-exceeded",
            outcome,
            detail: "the deadline passed between two attempts",
        });
    }

    private recordAnswerHeaders(head: AnswerHead): void {
        const load = parseLoad(findHeader(head.rawHeaders, loadHeader));
        const isLeaving = findHeader(head.rawHeaders, leavingHeader) !== undefined;
        this.dependencies.directory.recordAnswer(this.target!.endpoint, load, isLeaving);
        const unusedRetries = parseCount(findHeader(head.rawHeaders, unusedRetriesHeader));
        this.dependencies.ledger.releaseRetries(this.request.chargedCall.id, this.grantedRetries, unusedRetries);
    }

    /**
     * Returns "not-run" only if no attempt may have run the request. A keyed request counts as not run only while its
     * home answers, since only the home knows of all earlier requests with the key.
     */
    private computeStatedOutcome(outcome: Outcome): Outcome {
        if (outcome !== "not-run") {
            return outcome;
        }
        const isKnownNotRun = this.request.home === undefined ? !this.mayHaveRun : this.attempt !== undefined;
        return isKnownNotRun ? "not-run" : "may-have-run";
    }

    private computeRemainingMs(): number {
        return Math.max(0, this.request.deadlineAtMs - this.dependencies.clock.readMonotonicMs());
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
        sendProblem(this.request.sink, problem, [actionHeader, this.request.chargedCall.action]);
    }

    private settle(outcome: Outcome): void {
        this.finished = true;
        this.dependencies.wheel.remove(this.deadline);
        this.dependencies.wheel.remove(this.backoff);
        this.request.onFinished(outcome);
    }
}
