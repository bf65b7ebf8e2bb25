/** Attempts of a call: each sends the request once, over one connection. */
import { type Dispatcher } from "undici";
import { type AnswerHead, type AnswerSink } from "./answerSink";
import { isBodiless } from "./headers";
import { BodyTooLargeError, type RequestBody } from "./readBody";

/** Reason for which an attempt got no complete answer. */
export type FailureCause = "connection" | "timeout" | "cancelled" | "unframed" | "body-too-large";

/** Result of an attempt; `forwarded` says whether the answer's head was passed to a sink. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly head: AnswerHead; readonly forwarded: boolean; }
    /** No byte of the request reached the target. */
    | { readonly kind: "unsent"; readonly cause: FailureCause; }
    /** The request was sent, but no complete answer was received. */
    | { readonly kind: "incomplete"; readonly cause: FailureCause; readonly forwarded: boolean; };

/** Receives the answer and the result of an attempt. */
export interface AttemptHandler {
    /** Called with the head of the answer; returns the sink for the body, or undefined to discard it. */
    startAnswer(head: AnswerHead): AnswerSink | undefined;
    /** Called once, when the attempt has ended. */
    finish(result: AttemptResult): void;
}

/** The part of a connection pool that sends requests. */
export type Dispatch = Pick<Dispatcher, "dispatch">;

/** Request that is sent to the next hop. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: string[];
    readonly body: RequestBody;
    /** If false, the pool chooses a connection that the other side is not about to close. */
    readonly idempotent?: boolean;
}

/** Lower statuses are informational: a final answer follows. */
const firstFinalStatus = 200;

/** Whether the headers delimit the body, so that a lost connection can be distinguished from its end. */
const isFramed = (method: string, head: AnswerHead, rawHeaders: readonly string[]): boolean => {
    if (isBodiless(method, head.status)) {
        return true;
    }
    return rawHeaders.some((name, index) => {
        const isName = index % 2 === 0;
        const lowerCaseName = isName ? name.toLowerCase() : "";
        return lowerCaseName === "content-length" || lowerCaseName === "transfer-encoding";
    });
};

const parseRawHeaders = (raw: readonly Buffer[]): string[] => raw.map(text => text.toString("latin1"));

/** One attempt of a call; implements the handler interface of undici. */
export class Attempt implements Dispatcher.DispatchHandlers {
    private abortConnection: ((error?: Error) => void) | undefined;
    private abortCause: FailureCause | undefined;
    private head: AnswerHead | undefined;
    private sink: AnswerSink | undefined;
    private isSent = false;
    private isFinished = false;

    /**
     * `acceptsUnframed` allows answers without a length, which end with their connection.
     * The transport then has to report a connection reset as an error.
     */
    constructor(
        private readonly method: string,
        private readonly handler: AttemptHandler,
        private readonly acceptsUnframed = false,
    ) {}

    /** Aborts the attempt; the handler gets the result before this method returns. */
    abort(cause: FailureCause): void {
        if (this.isFinished) {
            return;
        }
        this.abortCause = cause;
        const abortConnection = this.abortConnection;
        this.finishFailed(cause);
        abortConnection?.();
    }

    onConnect(abort: (error?: Error) => void): void {
        if (this.isFinished) {
            abort();
            return;
        }
        this.abortConnection = abort;
        this.isSent = true;
    }

    onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
        if (status < firstFinalStatus || this.isFinished) {
            return true;
        }
        const rawHeaders = parseRawHeaders(raw);
        this.head = { status, rawHeaders };
        if (!this.acceptsUnframed && !isFramed(this.method, this.head, rawHeaders)) {
            this.abort("unframed");
            return true;
        }
        this.sink = this.handler.startAnswer(this.head);
        this.resume = resume;
        return true;
    }

    onData(chunk: Buffer): boolean {
        if (!this.sink || this.isFinished) {
            return true;
        }
        const acceptsMore = this.sink.write(chunk);
        if (!acceptsMore) {
            this.sink.onDrain(this.resume);
        }
        return acceptsMore;
    }

    onComplete(): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        this.sink?.end();
        this.handler.finish({ kind: "answered", head: this.head!, forwarded: this.sink !== undefined });
    }

    onError(error: Error): void {
        if (!this.isFinished) {
            const cause = error instanceof BodyTooLargeError ? "body-too-large" : "connection";
            this.finishFailed(this.abortCause ?? cause);
        }
    }

    private resume: () => void = () => undefined;

    private finishFailed(cause: FailureCause): void {
        this.isFinished = true;
        this.sink?.abort();
        this.handler.finish(
            this.isSent ? { kind: "incomplete", cause, forwarded: this.sink !== undefined } : { kind: "unsent", cause },
        );
    }
}

/** Sends a request over a connection of a pool; the attempt receives the answer. */
export const sendAttempt = (pool: Dispatch, request: OutgoingRequest, attempt: Attempt): void => {
    pool.dispatch(
        {
            method: request.method as Dispatcher.HttpMethod,
            path: request.path,
            headers: request.rawHeaders,
            body: request.body,
            idempotent: request.idempotent,
            headersTimeout: 0,
            bodyTimeout: 0,
        },
        attempt,
    );
};
