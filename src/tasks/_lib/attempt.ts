/** Attempts of a call: each sends the request once, over one connection. */
import { type Dispatcher } from "undici";
import { type AnswerHead, type AnswerSink } from "./answerSink";
import { isBodiless } from "./headers";
import { BodyTooLargeError, type RequestBody } from "./readBody";

/**
 * Why an attempt got no complete answer; "unframed": the headers of the answer do not delimit its body;
 * "excess-framing": it has far more bytes around its body than in it.
 */
export type FailureCause = "connection" | "timeout" | "cancelled" | "unframed" | "excess-framing" | "body-too-large";

/** Error of a connection over which an answer has far more bytes around its body than in it. */
export class ExcessFramingError extends Error {}

/** Result of an attempt; `forwarded` is true if the handler returned a sink for the answer. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly head: AnswerHead; readonly forwarded: boolean; }
    /** No connection was established, so no byte of the request was sent. */
    | { readonly kind: "unsent"; readonly cause: FailureCause; }
    /** The request may have been sent, but no complete answer was received. */
    | { readonly kind: "incomplete"; readonly cause: FailureCause; readonly forwarded: boolean; };

/** Receives the answer and the result of an attempt. */
export interface AttemptHandler {
    /**
     * Called with the head of the final answer; returns the sink for the body, or undefined to discard the body.
     * `isReused` tells that the connection has carried another answer, of which this may be a late copy.
     */
    startAnswer(head: AnswerHead, isReused: boolean): AnswerSink | undefined;
    /** Called once, when the answer is complete or the attempt has failed. */
    finish(result: AttemptResult): void;
}

/** Handler of a request that a connection pool sends. */
export interface PooledHandler extends Dispatcher.DispatchHandlers {
    /** Called before the headers of an answer if the connection has carried another answer. */
    onReused?(): void;
}

/** The method of a connection pool that sends a request. */
export interface Dispatch {
    dispatch(request: Dispatcher.DispatchOptions, handler: PooledHandler): boolean;
}

/** Request as it is sent to the upstream or to another node. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: string[];
    readonly body: RequestBody;
    /** If false, the pool avoids connections that the server may be about to close. */
    readonly idempotent?: boolean;
}

/** Answers with a lower status are informational: the final answer follows. */
const firstFinalStatus = 200;

/** Whether the headers delimit the body, so that a lost connection can't be mistaken for the end of the body. */
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

const decodeRawHeaders = (raw: readonly Buffer[]): string[] => raw.map(text => text.toString("latin1"));

/** Sends a request once and passes its answer to a handler; undici calls the methods whose names begin with "on". */
export class Attempt implements PooledHandler {
    private abortConnection: ((error?: Error) => void) | undefined;
    private abortCause: FailureCause | undefined;
    private head: AnswerHead | undefined;
    private sink: AnswerSink | undefined;
    private isSent = false;
    private isReused = false;
    /** Whether the sink will call back when it accepts more data. Chunks may arrive until the connection pauses. */
    private isPaused = false;
    private isFinished = false;

    /**
     * `acceptsUnframed` allows answers without Content-Length or Transfer-Encoding, which end with their connection.
     * The transport then has to report a connection reset as an error.
     */
    constructor(
        private readonly method: string,
        private readonly handler: AttemptHandler,
        private readonly acceptsUnframed = false,
    ) {}

    /** Aborts the attempt; calls `finish` of the handler before it returns, unless the attempt has ended. */
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

    onReused(): void {
        this.isReused = true;
    }

    onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
        if (status < firstFinalStatus || this.isFinished) {
            return true;
        }
        const rawHeaders = decodeRawHeaders(raw);
        this.head = { status, rawHeaders };
        if (!this.acceptsUnframed && !isFramed(this.method, this.head, rawHeaders)) {
            this.abort("unframed");
            return true;
        }
        this.sink = this.handler.startAnswer(this.head, this.isReused);
        this.resume = resume;
        return true;
    }

    onData(chunk: Buffer): boolean {
        if (!this.sink || this.isFinished) {
            return true;
        }
        const acceptsMore = this.sink.write(chunk);
        if (!acceptsMore && !this.isPaused) {
            this.isPaused = true;
            this.sink.onDrain(() => {
                this.isPaused = false;
                this.resume();
            });
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
            this.finishFailed(this.abortCause ?? deriveCause(error));
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

const deriveCause = (error: Error): FailureCause => {
    if (error instanceof ExcessFramingError) {
        return "excess-framing";
    }
    return error instanceof BodyTooLargeError ? "body-too-large" : "connection";
};

/** Sends a request over a pool without timeouts for its answer; `Attempt.abort` ends an attempt that takes too long. */
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
