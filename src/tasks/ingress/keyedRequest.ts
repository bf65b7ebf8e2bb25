/** Serves non-idempotent requests with an idempotency key at the home of the key. */
import { createHash } from "node:crypto";
import { maxReplayBodyBytes, refusalRetryAfterSeconds } from "../../constants";
import { type KeyAge } from "../../decisions/judgeKeyAge";
import { type AnswerHead, type AnswerSink, type RecordedAnswer, RecordingSink } from "../_lib/answerSink";
import { actionHeader } from "../_lib/headers";
import { type Problem, sendProblem } from "../_lib/problem";
import { type TimerWheel } from "../_lib/timerWheel";
import { type KeyDecision, type KeyedRequest, type KeyedResult, type KeyRecords } from "../keyRecords";

/** Computes a digest that tells whether two requests with the same key are identical. */
export const computeFingerprint = (method: string, path: string, body: Buffer | undefined): string =>
    createHash("sha256").update(`${method}\n${path}\n`).update(body ?? "").digest("base64");

/** Writes an answer to another sink, and also records it for later requests with the same key. */
export class TeeSink implements AnswerSink {
    private readonly recorder: RecordingSink;
    private recordedAnswer: RecordedAnswer | undefined;

    constructor(private readonly target: AnswerSink) {
        this.recorder = new RecordingSink(maxReplayBodyBytes, answer => {
            this.recordedAnswer = answer;
        });
    }

    /** Recorded answer; undefined until it is complete, or if its body exceeds `maxReplayBodyBytes`. */
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

/** Creates the problem for a key that is not accepted; a request with an old key may have run before. */
const describeUnacceptableKey = (keyAge: Exclude<KeyAge, "fresh">): Problem => {
    const mayHaveRun = keyAge === "before-start" || keyAge === "expired";
    return {
        status: mayHaveRun ? 409 : 400,
        reason: "key-not-acceptable",
        outcome: mayHaveRun ? "may-have-run" : "not-run",
        detail: unacceptableKeyDetails[keyAge],
    };
};

/** Creates the problem for a keyed request that is refused. */
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
    return describeUnacceptableKey(decision.keyAge as Exclude<KeyAge, "fresh">);
};

/** Sends the recorded answer of a keyed request, or a problem if no answer was kept. */
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

/** Options for answering a keyed request that doesn't run itself, mostly with the result of an earlier one. */
export interface WaitOptions {
    readonly sink: AnswerSink;
    /** Identifier of the action, for the headers of a problem. */
    readonly action: string;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    readonly wheel: TimerWheel;
    /** Called once, before the answer is sent. */
    readonly finish: (result: KeyedResult, reason: string) => void;
}

/**
 * Creates a listener that answers a waiting request with the result of the running one with the same key.
 * If the result isn't there by the deadline of the waiting request, it gets a 504 instead.
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

/** A keyed request, the records of its home, and how to run or answer it. */
export interface KeyedServeOptions {
    readonly records: KeyRecords;
    readonly request: KeyedRequest;
    /** Runs the request; called if its key is acceptable and has no record yet. */
    readonly run: () => void;
    readonly wait: WaitOptions;
}

/**
 * Runs a keyed request, answers it with the result of an earlier request with the same key, or refuses it.
 * It waits for the earlier request if that is still running.
 */
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
