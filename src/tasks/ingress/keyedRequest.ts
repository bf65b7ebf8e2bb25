/** A non-idempotent request with a key, at the home of the key. */
import { createHash } from "node:crypto";
import { maxReplayBodyBytes, refusalRetryAfterSeconds } from "../../constants";
import { type KeyAge } from "../../decisions/judgeKeyAge";
import { type AnswerHead, type AnswerSink, type RecordedAnswer, RecordingSink } from "../_lib/answerSink";
import { actionHeader } from "../_lib/headers";
import { type Problem, sendProblem } from "../_lib/problem";
import { type TimerWheel } from "../_lib/timerWheel";
import { type KeyDecision, type KeyedRequest, type KeyedResult, type KeyRecords } from "../keyRecords";

/** Computes the digest that tells one request from another one with the same key. */
export const computeFingerprint = (method: string, path: string, body: Buffer | undefined): string =>
    createHash("sha256").update(`${method}\n${path}\n`).update(body ?? "").digest("base64");

/** Passes an answer to the waiting caller, and keeps it for a caller who sends the key again. */
export class TeeSink implements AnswerSink {
    private readonly recorder: RecordingSink;
    private recorded: RecordedAnswer | undefined;

    constructor(private readonly first: AnswerSink) {
        this.recorder = new RecordingSink(maxReplayBodyBytes, answer => {
            this.recorded = answer;
        });
    }

    /** The whole answer, once it has ended. */
    get answer(): RecordedAnswer | undefined {
        return this.recorded;
    }

    start(head: AnswerHead): void {
        this.recorder.start(head);
        this.first.start(head);
    }

    write(chunk: Buffer): boolean {
        this.recorder.write(chunk);
        return this.first.write(chunk);
    }

    onDrain(resume: () => void): void {
        this.first.onDrain(resume);
    }

    end(): void {
        this.recorder.end();
        this.first.end();
    }

    abort(): void {
        this.recorder.abort();
        this.first.abort();
    }
}

const ageDetails: Readonly<Record<Exclude<KeyAge, "fresh">, string>> = {
    "before-start": "the key is older than this instance, which can't know whether an earlier one ran the request",
    "from-future": "the key's mint time lies in the future",
    expired: "the key is older than the time for which records are kept",
    "not-uuid-v7": "the Idempotency-Key of a non-idempotent request must be a UUID of version 7",
};

/** Describes a key that is not acceptable; an old key may have been run before. */
const describeUnacceptable = (age: Exclude<KeyAge, "fresh">): Problem => {
    const mayHaveRun = age === "before-start" || age === "expired";
    return {
        status: mayHaveRun ? 409 : 400,
        reason: "key-not-acceptable",
        outcome: mayHaveRun ? "may-have-run" : "not-run",
        detail: ageDetails[age],
    };
};

/** Describes the decision on a key that is neither run, waited for nor replayed. */
export const describeKeyProblem = (
    decision: Extract<KeyDecision, { readonly kind: "mismatch" | "full" | "unacceptable"; }>,
): Problem => {
    if (decision.kind === "mismatch") {
        const detail = "the Idempotency-Key was used for a request with another method, path or body";
        return { status: 422, reason: "key-mismatch", outcome: "not-run", detail };
    }
    if (decision.kind === "full") {
        const detail = "the table of idempotency keys is full";
        return {
            status: 503,
            reason: "key-table-full",
            outcome: "not-run",
            detail,
            retryAfterSeconds: refusalRetryAfterSeconds,
        };
    }
    return describeUnacceptable(decision.age as Exclude<KeyAge, "fresh">);
};

/** Sends a kept answer once more. */
export const sendEnd = (sink: AnswerSink, end: KeyedResult): void => {
    if (end.answer) {
        sink.start(end.answer.head);
        sink.write(end.answer.body);
        sink.end();
        return;
    }
    sendProblem(sink, {
        status: end.outcome === "completed" ? 410 : 409,
        reason: "answer-not-kept",
        outcome: end.outcome,
        detail: "the first request with this key has ended, and no whole answer of it is kept",
    });
};

/** Where a waiting request's answer goes, and how long it waits. */
export interface WaitOptions {
    readonly sink: AnswerSink;
    readonly action: string;
    readonly remainingMs: number;
    readonly wheel: TimerWheel;
    readonly finish: (end: KeyedResult, reason: string) => void;
}

/** Creates the listener that answers a request whose key is being run for an earlier one. */
export const createEndListener = (options: WaitOptions): (end: KeyedResult) => void => {
    let answered = false;
    const timeout = options.wheel.add(options.remainingMs, () => {
        answered = true;
        options.finish({ outcome: "may-have-run", answer: undefined }, "deadline-exceeded");
        sendProblem(options.sink, {
            status: 504,
            reason: "deadline-exceeded",
            outcome: "may-have-run",
            detail: "an earlier request with this key has not ended yet",
            retryAfterSeconds: refusalRetryAfterSeconds,
        }, [actionHeader, options.action]);
    });
    return end => {
        if (answered) {
            return;
        }
        options.wheel.remove(timeout);
        options.finish(end, "answered");
        sendEnd(options.sink, end);
    };
};

/** What runs a keyed request when nothing speaks against it. */
export interface KeyedRunner {
    readonly records: KeyRecords;
    readonly request: KeyedRequest;
    readonly run: () => void;
    readonly wait: WaitOptions;
}

/** Runs a keyed request, has it wait for an earlier one, or answers it from the record. */
export const serveKeyed = (runner: KeyedRunner): void => {
    let listener: ((end: KeyedResult) => void) | undefined;
    const decision = runner.records.begin(runner.request, end => listener?.(end));
    if (decision.kind === "run") {
        runner.run();
        return;
    }
    if (decision.kind === "wait") {
        listener = createEndListener(runner.wait);
        return;
    }
    if (decision.kind === "replay") {
        runner.wait.finish(decision.result, "answered");
        sendEnd(runner.wait.sink, decision.result);
        return;
    }
    const problem = describeKeyProblem(decision);
    runner.wait.finish({ outcome: problem.outcome, answer: undefined }, problem.reason);
    sendProblem(runner.wait.sink, problem, [actionHeader, runner.wait.action]);
};
