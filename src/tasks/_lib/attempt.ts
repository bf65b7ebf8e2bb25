/** One attempt of a call over one connection, and its result as a value. */
import { type Dispatcher } from "undici";
import { type AnswerHead, type AnswerSink } from "./answerSink";
import { isBodiless } from "./headers";
import { BodyTooLargeError, type RequestBody } from "./readBody";

/** Why an attempt came to no whole answer. */
export type FailureCause = "connection" | "timeout" | "cancelled" | "unframed" | "body-too-large";

/** How an attempt ended. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly head: AnswerHead; readonly forwarded: boolean; }
    /** No byte of the request reached the target. */
    | { readonly kind: "unsent"; readonly cause: FailureCause; }
    /** The request was sent, but no whole answer came back. */
    | { readonly kind: "incomplete"; readonly cause: FailureCause; readonly forwarded: boolean; };

/** What the handler of an attempt is asked and told. */
export interface AttemptHandler {
    /** Returns where the answer goes, or undefined when it is to be discarded. */
    startAnswer(head: AnswerHead): AnswerSink | undefined;
    finish(result: AttemptResult): void;
}

/** The part of a connection pool that attempts need. */
export type Dispatch = Pick<Dispatcher, "dispatch">;

/** A request as it goes to the next hop. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: string[];
    readonly body: RequestBody;
    /** False asks for a connection that is not about to be closed by the other side. */
    readonly idempotent?: boolean;
}

const firstFinalStatus = 200;

/** Whether the end of an answer's body can be told from a broken connection. */
const isFramed = (method: string, head: AnswerHead, rawHeaders: readonly string[]): boolean => {
    if (isBodiless(method, head.status)) {
        return true;
    }
    return rawHeaders.some((name, index) => {
        const isName = index % 2 === 0;
        const lowerCase = isName ? name.toLowerCase() : "";
        return lowerCase === "content-length" || lowerCase === "transfer-encoding";
    });
};

const parseRawHeaders = (raw: readonly Buffer[]): string[] => raw.map(part => part.toString("latin1"));

/** Carries one attempt; implements the handler interface of undici. */
export class Attempt implements Dispatcher.DispatchHandlers {
    private abortConnection: ((error?: Error) => void) | undefined;
    private breakCause: FailureCause | undefined;
    private head: AnswerHead | undefined;
    private sink: AnswerSink | undefined;
    private sent = false;
    private finished = false;

    /** Where the transport reports a reset connection as an error, an answer may also end with its connection. */
    constructor(
        private readonly method: string,
        private readonly handler: AttemptHandler,
        private readonly acceptsUnframed = false,
    ) {}

    /** Gives the attempt up; its handler gets the result at once. */
    abort(cause: FailureCause): void {
        if (this.finished) {
            return;
        }
        this.breakCause = cause;
        const abortConnection = this.abortConnection;
        this.finishBroken(cause);
        abortConnection?.();
    }

    onConnect(abort: (error?: Error) => void): void {
        if (this.finished) {
            abort();
            return;
        }
        this.abortConnection = abort;
        this.sent = true;
    }

    onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
        if (status < firstFinalStatus || this.finished) {
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
        if (!this.sink || this.finished) {
            return true;
        }
        const hasRoom = this.sink.write(chunk);
        if (!hasRoom) {
            this.sink.onDrain(this.resume);
        }
        return hasRoom;
    }

    onComplete(): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        this.sink?.end();
        this.handler.finish({ kind: "answered", head: this.head!, forwarded: this.sink !== undefined });
    }

    onError(error: Error): void {
        if (!this.finished) {
            const cause = error instanceof BodyTooLargeError ? "body-too-large" : "connection";
            this.finishBroken(this.breakCause ?? cause);
        }
    }

    private resume: () => void = () => undefined;

    private finishBroken(cause: FailureCause): void {
        this.finished = true;
        this.sink?.abort();
        this.handler.finish(
            this.sent ? { kind: "incomplete", cause, forwarded: this.sink !== undefined } : { kind: "unsent", cause },
        );
    }
}

/** Sends a request over a connection of a pool; the attempt hears of its answer. */
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
