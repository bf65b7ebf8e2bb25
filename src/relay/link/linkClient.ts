/** Client side of a link, a connection over which a node sends requests to another node. */
import { connect, type Socket } from "node:net";
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type Address } from "../../types";
import { type HopAnswerFields, parseHopAnswer } from "../hop/headers";
import { type TokenAnswer, type TokenQuery } from "../organisations/tokenMessages";
import { type HopHandler, type HopRequest, type HopResult } from "../types";
import { type Frame, frameKinds } from "./frames";
import { type FrameFailureListener, FrameSocket } from "./frameSocket";
import { parseAnswerHead } from "./parseMessages";
import { parseTokenAnswer } from "./parseTokens";

/** Timeout for opening a connection, in milliseconds. Allows several round trips between failure domains. */
const connectTimeoutMs = 400;

/** Address of the other node, and the functions that a link client calls. */
export interface LinkClientDependencies {
    readonly address: Address;
    /** Encodes the fields of a request that are not part of its HTTP message. */
    readonly encodeRequest: (hopRequest: HopRequest) => string;
    /** Called when the connection opens, and for each frame received. */
    readonly onActivity: () => void;
    readonly onFrameFailed: FrameFailureListener;
    /** Called once when the connection is closed or could not be opened. */
    readonly onClosed: () => void;
}

interface PendingRequest {
    readonly hopRequest: HopRequest;
    readonly handler: HopHandler;
    isSent: boolean;
    /** Whether the other node has been told to pause the stream. */
    isPaused: boolean;
    sink: AnswerSink | undefined;
    answer: HopAnswerFields | undefined;
}

/** Sends requests to another node over one connection and settles their handlers. */
export class LinkClient {
    private readonly socket: Socket;
    private readonly frames: FrameSocket;
    private readonly pendingRequests = new Map<number, PendingRequest>();
    private readonly pendingQueries = new Map<number, (answer: TokenAnswer | undefined) => void>();
    /** Queries that wait for the connection to open. */
    private readonly unsentQueries: Frame[] = [];
    private lastId = 0;
    private frameCount = 0;
    private isConnected = false;
    private isClosed = false;

    constructor(private readonly dependencies: LinkClientDependencies) {
        const { host, port } = dependencies.address;
        this.socket = connect({ host, port, noDelay: true });
        const timer = setTimeout(() => this.socket.destroy(), connectTimeoutMs);
        this.socket.once("connect", () => {
            clearTimeout(timer);
            this.isConnected = true;
            this.dependencies.onActivity();
            this.unsentQueries.splice(0).forEach(frame => this.frames.write(frame));
            this.pendingRequests.forEach((pending, id) => this.sendRequestFrame(id, pending));
        });
        this.frames = new FrameSocket(this.socket, {
            onFrame: frame => this.receive(frame),
            onFrameFailed: dependencies.onFrameFailed,
            onClose: () => {
                clearTimeout(timer);
                this.close();
            },
        });
    }

    /** Number of requests without a result. */
    get pending(): number {
        return this.pendingRequests.size;
    }

    /** Number of frames that the other node has sent. */
    get receivedFrames(): number {
        return this.frameCount;
    }

    /** Sends a request without a streamed body once the connection is open; returns a function that cancels it. */
    send(hopRequest: HopRequest, handler: HopHandler): (cause: "timeout" | "cancelled" | "connection") => void {
        this.lastId += 1;
        const id = this.lastId;
        const pending: PendingRequest = {
            hopRequest,
            handler,
            isSent: false,
            isPaused: false,
            sink: undefined,
            answer: undefined,
        };
        this.pendingRequests.set(id, pending);
        if (this.isConnected) {
            this.sendRequestFrame(id, pending);
        }
        return cause => this.cancel(id, cause);
    }

    /**
     * Sends a token query; calls back once, with undefined if the connection closes first. Returns a function that gives
     * the query up.
     */
    queryTokens(query: TokenQuery, onAnswer: (answer: TokenAnswer | undefined) => void): () => void {
        this.lastId += 1;
        const id = this.lastId;
        this.pendingQueries.set(id, onAnswer);
        const frame: Frame = [frameKinds.tokenQuery, id, query];
        if (this.isConnected) {
            this.frames.write(frame);
        }
        else {
            this.unsentQueries.push(frame);
        }
        return () => {
            this.pendingQueries.delete(id);
        };
    }

    /** Sends a ping if the connection is open; its reply triggers `onActivity`, as any frame does. */
    sendPing(): void {
        if (this.isConnected) {
            this.frames.write([frameKinds.ping, 0]);
        }
    }

    /** Closes the connection at once; its pending requests are settled. */
    abort(): void {
        this.frames.abort();
    }

    private sendRequestFrame(id: number, pending: PendingRequest): void {
        const { hopRequest } = pending;
        pending.isSent = true;
        const { requestId, method, path, rawHeaders, body } = hopRequest;
        this.frames.write([
            frameKinds.request,
            id,
            this.dependencies.encodeRequest(hopRequest),
            requestId,
            method,
            path,
            rawHeaders,
            body,
        ]);
    }

    private cancel(id: number, cause: "timeout" | "cancelled" | "connection"): void {
        const pending = this.takePending(id);
        if (!pending) {
            return;
        }
        if (pending.isSent) {
            this.frames.write([frameKinds.cancel, id]);
        }
        pending.sink?.abort();
        const result: HopResult = pending.isSent
            ? { kind: "may-have-run", cause }
            : { kind: "not-run", reason: "expired" };
        pending.handler.settle(result, undefined);
    }

    private receive([kind, id, ...fields]: Frame): void {
        this.frameCount += 1;
        this.dependencies.onActivity();
        if (kind === frameKinds.tokenAnswer) {
            const handle = this.pendingQueries.get(id);
            this.pendingQueries.delete(id);
            handle?.(parseTokenAnswer(fields[0]));
            return;
        }
        const pending = this.pendingRequests.get(id);
        if (!pending) {
            return;
        }
        switch (kind) {
            case frameKinds.answer:
                this.pendingRequests.delete(id);
                this.settle(pending, fields);
                return;
            case frameKinds.streamStart:
                this.startStream(pending, fields);
                return;
            case frameKinds.chunk:
                this.forwardChunk(id, pending, fields[0]);
                return;
            case frameKinds.streamEnd:
                this.pendingRequests.delete(id);
                pending.sink?.end();
                pending.handler.settle(createStreamedResult(), pending.answer?.report);
                return;
            case frameKinds.streamAbort:
                this.pendingRequests.delete(id);
                pending.sink?.abort();
                pending.handler.settle({ kind: "may-have-run", cause: "connection" }, pending.answer?.report);
        }
    }

    private settle({ handler }: PendingRequest, [encodedAnswer, status, rawHeaders, body]: readonly unknown[]): void {
        const answer = parseHopAnswer(String(encodedAnswer));
        handler.settle(deriveHopResult(answer, parseAnswerHead(status, rawHeaders), body), answer?.report);
    }

    private startStream(pending: PendingRequest, [encodedAnswer, status, rawHeaders]: readonly unknown[]): void {
        const head = parseAnswerHead(status, rawHeaders);
        if (!head || pending.sink) {
            this.frames.abort();
            return;
        }
        pending.answer = parseHopAnswer(String(encodedAnswer));
        pending.sink = pending.handler.openStream(head);
    }

    private forwardChunk(id: number, pending: PendingRequest, chunk: unknown): void {
        const { sink } = pending;
        if (!sink || !Buffer.isBuffer(chunk)) {
            this.frames.abort();
            return;
        }
        if (sink.write(chunk) || pending.isPaused) {
            return;
        }
        pending.isPaused = true;
        this.frames.write([frameKinds.pause, id]);
        sink.onDrain(() => {
            pending.isPaused = false;
            this.frames.write([frameKinds.resume, id]);
        });
    }

    private takePending(id: number): PendingRequest | undefined {
        const pending = this.pendingRequests.get(id);
        this.pendingRequests.delete(id);
        return pending;
    }

    /** Settles all pending requests: those that have been sent may have run, the others have not. */
    private close(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.dependencies.onClosed();
        const unansweredQueries = [...this.pendingQueries.values()];
        this.pendingQueries.clear();
        unansweredQueries.forEach(handle => handle(undefined));
        const unfinishedRequests = [...this.pendingRequests.values()];
        this.pendingRequests.clear();
        unfinishedRequests.forEach(({ isSent, handler, sink }) => {
            sink?.abort();
            handler.settle(
                isSent ? { kind: "may-have-run", cause: "connection" } : { kind: "not-run", reason: "unreachable" },
                undefined,
            );
        });
    }
}

/** Creates the result of a streamed answer; its head is a placeholder, since `openStream` has received the real one. */
const createStreamedResult = (): HopResult => ({
    kind: "answered",
    head: { status: 200, rawHeaders: [] },
    body: undefined,
    nestedCallRefused: false,
});

const deriveHopResult = (
    answer: HopAnswerFields | undefined,
    head: AnswerHead | undefined,
    body: unknown,
): HopResult => {
    const outcome = answer?.outcome;
    if (outcome?.kind === "not-run") {
        return outcome;
    }
    if (outcome?.kind !== "ran" || !head || !Buffer.isBuffer(body)) {
        return { kind: "may-have-run", cause: "connection" };
    }
    return { kind: "answered", head, body, nestedCallRefused: outcome.nestedCallRefused };
};
