/** Serves non-idempotent requests with an idempotency key at the key's home. */
import { createHash } from "node:crypto";
import { maxReplayBodyBytes, refusalRetryAfterSeconds } from "../../constants";
import { type KeyAge } from "../../decisions/judgeKeyAge";
import { type AnswerHead, type AnswerSink, type RecordedAnswer, RecordingSink } from "../_lib/answerSink";
import { actionHeader } from "../_lib/headers";
import { type Problem, sendProblem } from "../_lib/problem";
import { type TimerWheel } from "../_lib/timerWheel";
import { type KeyDecision, type KeyedRequest, type KeyedResult, type KeyRecords } from "../keyRecords";

/** Computes a digest that distinguishes different requests with the same key. */
export const computeFingerprint = (method: string, path: string, body: Buffer | undefined): string =>
    createHash("sha256").update(`${method}\n${path}\n`).update(body ?? "").digest("base64");

/** Writes an answer to the waiting caller and records it for later requests with the same key. */
export class TeeSink implements AnswerSink {
    private readonly recorder: RecordingSink;
    private recordedAnswer: RecordedAnswer | undefined;

    constructor(private readonly target: AnswerSink) {
        this.recorder = new RecordingSink(maxReplayBodyBytes, answer => {
            this.recordedAnswer = answer;
        });
    }

    /** The recorded answer; undefined if it is not complete or its body exceeds `maxReplayBodyBytes`. */
    get answer(): RecordedAnswer | undefined {
        return this.recordedAnswer;
    }

    start(head: AnswerHead): void {
        this.recorder.start(head);
        this.target.start(head);
    }

    write(chunk: Buffer): boolean {
        this.recorder.write(chunk);
        return this.target.write(chunk);
    }

    onDrain(resume: () => void): void {
        this.target.onDrain(resume);
    }

    end(): void {
        this.recorder.end();
        this.target.end();
    }

    abort(): void {
        this.recorder.abort();
        this.target.abort();
    }
}

const unacceptableKeyDetails: Readonly<Record<Exclude<KeyAge, "fresh">, string>> = {
    "before-start": "the key is older than this instance, which can't know whether an earlier one ran the request",
    "from-future": "the key's mint time lies in the future",
    expired: "the key is older than the time for which records are kept",
    "not-uuid-v7": "the Idempotency-Key of a non-idempotent request must be a UUID of version 7",
};

/** Describes a key that is not acceptable; the request of an old key may have been run before. */
const describeUnacceptableKey = (age: Exclude<KeyAge, "fresh">): Problem => {
    const mayHaveRun = age === "before-start" || age === "expired";
    return {
        status: mayHaveRun ? 409 : 400,
        reason: "key-not-acceptable",
        outcome: mayHaveRun ? "may-have-run" : "not-run",
        detail: unacceptableKeyDetails[age],
    };
};

/** Describes the refusal of a keyed request. */
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
    return describeUnacceptableKey(decision.age as Exclude<KeyAge, "fresh">);
};

/** Sends the recorded answer again, or a problem if none was kept. */
export const sendResult = (sink: AnswerSink, result: KeyedResult): void => {
    if (result.answer) {
        sink.start(result.answer.head);
        sink.write(result.answer.body);
        sink.end();
        return;
    }
    sendProblem(sink, {
        status: result.outcome === "completed" ? 410 : 409,
        reason: "answer-not-kept",
        outcome: result.outcome,
        detail: "the first request with this key has ended, and no whole answer of it is kept",
    });
};

/** Options of a request that waits for an earlier one with the same key. */
export interface WaitOptions {
    readonly sink: AnswerSink;
    readonly action: string;
    /** Time until the deadline in milliseconds. */
    readonly remainingMs: number;
    readonly wheel: TimerWheel;
    readonly finish: (result: KeyedResult, reason: string) => void;
}

/**
 * Creates a listener that answers a waiting request with the result of the earlier one with the same key.
 * If there is none by the deadline of the waiting request, it is answered with 504.
 */
export const createResultListener = (options: WaitOptions): (result: KeyedResult) => void => {
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
    return result => {
        if (answered) {
            return;
        }
        options.wheel.remove(timeout);
        options.finish(result, "answered");
        sendResult(options.sink, result);
    };
};

/** Options of `serveKeyed`. */
export interface KeyedServeOptions {
    readonly records: KeyRecords;
    readonly request: KeyedRequest;
    /** Runs the request; called if no record of its key prevents it. */
    readonly run: () => void;
    readonly wait: WaitOptions;
}

/** Runs a keyed request, makes it wait for an earlier one with the same key, or answers it from the record. */
export const serveKeyed = (options: KeyedServeOptions): void => {
    let listener: ((result: KeyedResult) => void) | undefined;
    const decision = options.records.begin(options.request, result => listener?.(result));
    if (decision.kind === "run") {
        options.run();
        return;
    }
    if (decision.kind === "wait") {
        listener = createResultListener(options.wait);
        return;
    }
    if (decision.kind === "replay") {
        options.wait.finish(decision.result, "answered");
        sendResult(options.wait.sink, decision.result);
        return;
    }
    const problem = describeKeyProblem(decision);
    options.wait.finish({ outcome: problem.outcome, answer: undefined }, problem.reason);
    sendProblem(options.wait.sink, problem, [actionHeader, options.wait.action]);
};
