/** Fakes of HTTP requests, answers and connections between the core of a node and its callers, peers and upstream. */
import { type Dispatcher } from "undici";
import { type AnswerHead, type AnswerSink } from "../tasks/_lib/answerSink";
import { type Dispatch } from "../tasks/_lib/attempt";
import { type CallRequest } from "../tasks/_lib/callRequest";
import { type BodyOptions, type BodyResult } from "../tasks/_lib/readBody";
import { type VirtualClock } from "./virtualClock";

/** A request in memory, whose answer is written to the given sink. */
export class FakeCallRequest implements CallRequest {
    private closeHandler: (() => void) | undefined;

    constructor(
        readonly method: string,
        readonly url: string,
        readonly rawHeaders: readonly string[],
        private readonly body: Buffer | undefined,
        readonly sink: AnswerSink,
    ) {}

    hasUnreadBody(): boolean {
        return false;
    }

    readonly isBehindClose = false;

    isTurn(): boolean {
        return true;
    }

    onTurn(handle: () => void): void {
        handle();
    }

    isLatestOnConnection(): boolean {
        return true;
    }

    beginClosing(): void {
        // A fake request has no connection.
    }

    readBody(options: BodyOptions, finish: (result: BodyResult) => void): void {
        const isTooLarge = this.body !== undefined && this.body.length > options.maxBytes;
        finish(isTooLarge ? { kind: "too-large" } : { kind: "body", body: this.body });
    }

    onEarlyClose(handle: () => void): void {
        this.closeHandler = handle;
    }

    onEnd(): void {
        // A fake request is answered at once.
    }

    /** Simulates a caller that closes its connection before the answer is complete. */
    close(): void {
        this.closeHandler?.();
    }
}

/** Current state of the link between a sender and a receiver. */
export interface LinkState {
    /** Latency in each direction, in milliseconds. */
    readonly latencyMs: number;
    /** Whether requests and answers are lost without an error, as in a network partition. */
    readonly isPartitioned: boolean;
    /** Whether connections are refused, as if no process listened on the port. */
    readonly refusesConnections: boolean;
}

/** Delivers requests and answers over a link whose state is read anew for each message. */
export class FakeDispatch implements Dispatch {
    constructor(
        private readonly clock: VirtualClock,
        private readonly readLink: () => LinkState,
        private readonly handle: (request: FakeCallRequest) => void,
    ) {}

    dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandlers): boolean {
        const { latencyMs, refusesConnections, isPartitioned } = this.readLink();
        if (refusesConnections) {
            this.clock.schedule(latencyMs, () => handler.onError?.(new Error("connection refused")));
            return true;
        }
        if (isPartitioned) {
            return true;
        }
        this.send(options, handler);
        return true;
    }

    private send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandlers): void {
        let isAborted = false;
        const deliver = (handleArrival: () => void): void => {
            this.clock.schedule(this.readLink().latencyMs, () => {
                if (!isAborted && !this.readLink().isPartitioned) {
                    handleArrival();
                }
            });
        };
        const sink = createHandlerSink(handler, deliver);
        const body = options.body as Buffer | undefined;
        const request = new FakeCallRequest(
            options.method,
            options.path,
            options.headers as string[],
            body ?? undefined,
            sink,
        );
        handler.onConnect?.(() => {
            isAborted = true;
            this.clock.schedule(this.readLink().latencyMs, () => {
                if (!this.readLink().isPartitioned) {
                    request.close();
                }
            });
        });
        deliver(() => this.handle(request));
    }
}

const createHandlerSink = (
    handler: Dispatcher.DispatchHandlers,
    deliver: (handleArrival: () => void) => void,
): AnswerSink => ({
    start: head =>
        deliver(() => {
            handler.onHeaders?.(head.status, head.rawHeaders.map(text => Buffer.from(text)), () => undefined, "");
        }),
    write: chunk => {
        deliver(() => {
            handler.onData?.(chunk);
        });
        return true;
    },
    onDrain: resume => resume(),
    end: () => deliver(() => handler.onComplete?.([])),
    abort: () => deliver(() => handler.onError?.(new Error("answer aborted"))),
});

/** An answer that a caller has received. It may be incomplete. */
export interface ReceivedAnswer {
    readonly head: AnswerHead | undefined;
    readonly body: string;
    /** Whether the answer ended normally rather than by an abort. */
    readonly isComplete: boolean;
}

/** Buffers an answer in memory, and passes it to `onEnd` when it is complete or aborted. */
export class CollectingSink implements AnswerSink {
    private head: AnswerHead | undefined;
    private readonly chunks: Buffer[] = [];

    constructor(private readonly onEnd: (answer: ReceivedAnswer) => void) {}

    start(head: AnswerHead): void {
        this.head = head;
    }

    write(chunk: Buffer): boolean {
        this.chunks.push(chunk);
        return true;
    }

    onDrain(resume: () => void): void {
        resume();
    }

    end(): void {
        this.onEnd({ head: this.head, body: Buffer.concat(this.chunks).toString(), isComplete: true });
    }

    abort(): void {
        this.onEnd({ head: this.head, body: Buffer.concat(this.chunks).toString(), isComplete: false });
    }
}
