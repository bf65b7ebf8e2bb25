/** Server side of links, connections over which other nodes send requests. */
import { createServer, type Server, type Socket } from "node:net";
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type Address } from "../../types";
import {
    deriveOutcome,
    encodeHopAnswer,
    type HopOutcome,
    type HopRequestFields,
    parseHopRequest,
} from "../hop/headers";
import { type TokenAnswer, type TokenQuery } from "../organisations/tokenMessages";
import { type HopHandler, type HopRequest, type HopResult, type LoadReport } from "../types";
import { type Frame, frameKinds } from "./frames";
import { type FrameFailureListener, FrameSocket } from "./frameSocket";
import { parseRequestMessage, type RequestMessage } from "./parseMessages";
import { parseTokenQuery } from "./parseTokens";

/** Functions through which links pass requests to the local node. */
export interface LinkServerDependencies {
    /** Serves a request; returns a function that cancels it. */
    readonly serve: (hopRequest: HopRequest, handler: HopHandler) => () => void;
    /** Computes the monotonic deadline of a request from the remaining time that its sender states, in milliseconds. */
    readonly computeDeadline: (remainingMs: number) => number;
    /** Called with the routing version that the node at a host uses. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Answers a token query of the node at a host. */
    readonly serveTokens: (host: string, query: TokenQuery) => TokenAnswer;
    readonly onFrameFailed: FrameFailureListener;
    /** Creates the load report that is sent with the head of a streamed answer. */
    readonly createStreamReport: (hopRequest: HopRequest) => LoadReport;
}

const ranOutcome: HopOutcome = { kind: "ran", nestedCallRefused: false };

interface ServedRequest {
    cancel: () => void;
    stream: LinkStream | undefined;
}

/** Opens the listener for links from other nodes; rejects if the address can't be bound. */
export const openLinkListener = (address: Address, dependencies: LinkServerDependencies): Promise<Server> => {
    const server = createServer({ noDelay: true }, socket => {
        new LinkConnection(socket, dependencies);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => resolve(server));
    });
};

/** Serves the requests that another node sends over one connection; cancels them when it closes. */
class LinkConnection {
    private readonly frames: FrameSocket;
    private readonly servedRequests = new Map<number, ServedRequest>();
    private readonly host: string;

    constructor(socket: Socket, private readonly dependencies: LinkServerDependencies) {
        this.host = socket.remoteAddress ?? "";
        this.frames = new FrameSocket(socket, {
            onFrame: frame => this.receive(frame),
            onFrameFailed: dependencies.onFrameFailed,
            onClose: () => {
                const unfinishedRequests = [...this.servedRequests.values()];
                this.servedRequests.clear();
                unfinishedRequests.forEach(({ cancel }) => cancel());
            },
        });
    }

    private receive([kind, id, ...fields]: Frame): void {
        const served = this.servedRequests.get(id);
        switch (kind) {
            case frameKinds.request:
                this.serve(id, fields);
                return;
            case frameKinds.cancel:
                this.servedRequests.delete(id);
                served?.cancel();
                return;
            case frameKinds.pause:
                served?.stream?.stopSource();
                return;
            case frameKinds.resume:
                served?.stream?.startSource();
                return;
            case frameKinds.tokenQuery:
                this.serveTokens(id, fields[0]);
                return;
            case frameKinds.ping:
                this.frames.write([frameKinds.pong, id]);
        }
    }

    private serveTokens(id: number, value: unknown): void {
        const query = parseTokenQuery(value);
        if (!query) {
            this.frames.abort();
            return;
        }
        this.frames.write([frameKinds.tokenAnswer, id, this.dependencies.serveTokens(this.host, query)]);
    }

    private serve(id: number, [encodedRequest, ...messageFields]: readonly unknown[]): void {
        const fields = typeof encodedRequest === "string" ? parseHopRequest(encodedRequest) : undefined;
        const message = parseRequestMessage(messageFields);
        if (!fields || !message || this.servedRequests.has(id)) {
            this.frames.abort();
            return;
        }
        this.dependencies.onVersionSeen(this.host, fields.version);
        const hopRequest = this.createHopRequest(fields, message);
        const served: ServedRequest = { cancel: () => undefined, stream: undefined };
        this.servedRequests.set(id, served);
        served.cancel = this.dependencies.serve(hopRequest, {
            openStream: head => {
                served.stream = new LinkStream(id, this.frames);
                const report = this.dependencies.createStreamReport(hopRequest);
                served.stream.sendHead(encodeHopAnswer({ outcome: ranOutcome, report }), head);
                return served.stream;
            },
            settle: (result, report) => {
                if (this.servedRequests.delete(id) && !served.stream) {
                    this.writeResult(id, result, report!);
                }
            },
        });
    }

    private createHopRequest(
        fields: HopRequestFields,
        request: RequestMessage,
    ): HopRequest {
        return { ...fields, ...request, deadlineAtMs: this.dependencies.computeDeadline(fields.remainingMs) };
    }

    private writeResult(id: number, result: HopResult, report: LoadReport): void {
        const encodedAnswer = encodeHopAnswer({ outcome: deriveOutcome(result), report });
        if (result.kind === "answered") {
            const { status, rawHeaders } = result.head;
            this.frames.write([frameKinds.answer, id, encodedAnswer, status, rawHeaders, result.body]);
            return;
        }
        this.frames.write([frameKinds.answer, id, encodedAnswer]);
    }
}

/**
 * Sends a streamed answer in chunks. Its source stops between the pause and resume frames of the other node, and while
 * the connection doesn't accept more: a node that stands still sends no pause frame.
 */
class LinkStream implements AnswerSink {
    private isPaused = false;
    private isBlocked = false;
    private resumeSource: (() => void) | undefined;

    constructor(private readonly id: number, private readonly frames: FrameSocket) {}

    sendHead(encodedAnswer: string, { status, rawHeaders }: AnswerHead): void {
        this.frames.write([frameKinds.streamStart, this.id, encodedAnswer, status, rawHeaders]);
    }

    start(): void {
        return;
    }

    write(chunk: Buffer): boolean {
        if (!this.frames.write([frameKinds.chunk, this.id, chunk]) && !this.isBlocked) {
            this.isBlocked = true;
            this.frames.onDrain(() => {
                this.isBlocked = false;
                this.tryStartSource();
            });
        }
        return !this.isPaused && !this.isBlocked;
    }

    onDrain(resume: () => void): void {
        this.resumeSource = resume;
    }

    end(): void {
        this.frames.write([frameKinds.streamEnd, this.id]);
    }

    abort(): void {
        this.frames.write([frameKinds.streamAbort, this.id]);
    }

    stopSource(): void {
        this.isPaused = true;
    }

    startSource(): void {
        this.isPaused = false;
        this.tryStartSource();
    }

    private tryStartSource(): void {
        if (this.isPaused || this.isBlocked) {
            return;
        }
        const { resumeSource } = this;
        this.resumeSource = undefined;
        resumeSource?.();
    }
}
