/** The sending side of a connection between two nodes. */
import { connect, type Socket } from "node:net";
import { type AnswerSink } from "../../tasks/_lib/answerSink";
import { type Address } from "../../types";
import { type HopAnswerFields, parseHopAnswer } from "../hop/headers";
import { type HopHandler, type HopRequest, type HopResult } from "../types";
import { type Frame, frameKinds } from "./frames";
import { FrameSocket } from "./frameSocket";

/** Time allowed for a new connection, in milliseconds; several round trips between failure domains. */
const connectTimeoutMs = 400;

/** What a link works with. */
export interface LinkClientDependencies {
    readonly address: Address;
    /** Encodes what goes with a request. */
    readonly encodeRequest: (hopRequest: HopRequest) => string;
    /** Told of each sign of life of the other node. */
    readonly onActivity: () => void;
    /** Told once when the connection has ended or did not come about. */
    readonly onClosed: () => void;
}

interface Pending {
    readonly hopRequest: HopRequest;
    readonly handler: HopHandler;
    isSent: boolean;
    sink: AnswerSink | undefined;
    answer: HopAnswerFields | undefined;
}

/** Owns one connection to another node and the requests on it. */
export class LinkClient {
    private readonly socket: Socket;
    private readonly frames: FrameSocket;
    private readonly pendings = new Map<number, Pending>();
    private lastId = 0;
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
            this.pendings.forEach((pending, id) => this.sendOrder(id, pending));
        });
        this.frames = new FrameSocket(this.socket, {
            onFrame: frame => this.receive(frame),
            onClose: () => {
                clearTimeout(timer);
                this.close();
            },
        });
    }

    /** Requests without a result. */
    get pending(): number {
        return this.pendings.size;
    }

    /** Sends a request with a whole body; returns what gives it up. */
    send(hopRequest: HopRequest, handler: HopHandler): (cause: "timeout" | "cancelled" | "connection") => void {
        this.lastId += 1;
        const id = this.lastId;
        const pending: Pending = { hopRequest, handler, isSent: false, sink: undefined, answer: undefined };
        this.pendings.set(id, pending);
        if (this.isConnected) {
            this.sendOrder(id, pending);
        }
        return cause => this.cancel(id, cause);
    }

    /** Asks for a sign of life. */
    sendPing(): void {
        if (this.isConnected) {
            this.frames.write([frameKinds.ping, 0]);
        }
    }

    /** Breaks the connection off. */
    abort(): void {
        this.frames.abort();
    }

    private sendOrder(id: number, pending: Pending): void {
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
        const pending = this.take(id);
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
        this.dependencies.onActivity();
        const pending = this.pendings.get(id);
        if (!pending) {
            return;
        }
        switch (kind) {
            case frameKinds.answer:
                this.pendings.delete(id);
                this.settle(pending, fields);
                return;
            case frameKinds.streamStart:
                this.startStream(pending, fields);
                return;
            case frameKinds.chunk:
                this.forwardChunk(id, pending, fields[0] as Buffer);
                return;
            case frameKinds.streamEnd:
                this.pendings.delete(id);
                pending.sink?.end();
                pending.handler.settle(createStreamedResult(), pending.answer?.report);
                return;
            case frameKinds.streamAbort:
                this.pendings.delete(id);
                pending.sink?.abort();
                pending.handler.settle({ kind: "may-have-run", cause: "connection" }, pending.answer?.report);
        }
    }

    private settle({ handler }: Pending, [hop, status, rawHeaders, body]: readonly unknown[]): void {
        const answer = parseHopAnswer(String(hop));
        handler.settle(deriveHopResult(answer, { status, rawHeaders, body } as WireAnswer), answer?.report);
    }

    private startStream(pending: Pending, [hop, status, rawHeaders]: readonly unknown[]): void {
        pending.answer = parseHopAnswer(String(hop));
        pending.sink = pending.handler.openStream({
            status: Number(status),
            rawHeaders: rawHeaders as readonly string[],
        });
    }

    private forwardChunk(id: number, { sink }: Pending, chunk: Buffer): void {
        if (!sink || sink.write(chunk)) {
            return;
        }
        this.frames.write([frameKinds.pause, id]);
        sink.onDrain(() => this.frames.write([frameKinds.resume, id]));
    }

    private take(id: number): Pending | undefined {
        const pending = this.pendings.get(id);
        this.pendings.delete(id);
        return pending;
    }

    /** Without a connection nothing was sent; after it, what has been sent may have run. */
    private close(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.dependencies.onClosed();
        const left = [...this.pendings.values()];
        this.pendings.clear();
        left.forEach(({ isSent, handler, sink }) => {
            sink?.abort();
            handler.settle(
                isSent ? { kind: "may-have-run", cause: "connection" } : { kind: "not-run", reason: "unreachable" },
                undefined,
            );
        });
    }
}

interface WireAnswer {
    readonly status: number;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}

const createStreamedResult = (): HopResult => ({
    kind: "answered",
    head: { status: 200, rawHeaders: [] },
    body: undefined,
    nestedCallRefused: false,
});

const deriveHopResult = (answer: HopAnswerFields | undefined, { status, rawHeaders, body }: WireAnswer): HopResult => {
    const outcome = answer?.outcome;
    if (outcome?.kind === "not-run") {
        return outcome;
    }
    if (outcome?.kind !== "ran") {
        return { kind: "may-have-run", cause: "connection" };
    }
    return { kind: "answered", head: { status, rawHeaders }, body, nestedCallRefused: outcome.nestedCallRefused };
};
