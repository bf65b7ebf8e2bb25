/** The serving side of connections between nodes. */
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
import { type HopHandler, type HopRequest, type HopResult, type LoadReport } from "../types";
import { type Frame, frameKinds } from "./frames";
import { FrameSocket } from "./frameSocket";

/** What the serving side works with. */
export interface LinkServerDependencies {
    /** Serves a request; returns what gives it up. */
    readonly serve: (hopRequest: HopRequest, handler: HopHandler) => () => void;
    /** Computes the deadline of a request from the time that its sender goes on waiting, in milliseconds. */
    readonly computeDeadline: (remainingMs: number) => number;
    /** Told which routing version a node at a host has in force. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Computes what is told of the upstream with an answer whose end has not come. */
    readonly createStreamReport: (hopRequest: HopRequest) => LoadReport;
}

const ranOutcome: HopOutcome = { kind: "ran", nestedCallRefused: false };

interface Active {
    cancel: () => void;
    stream: LinkStream | undefined;
}

/** Opens the listener for connections of other nodes. */
export const openLinkListener = (address: Address, dependencies: LinkServerDependencies): Promise<Server> => {
    const server = createServer({ noDelay: true }, socket => {
        new LinkConnection(socket, dependencies);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => resolve(server));
    });
};

/** Owns one connection of another node, and the requests that came over it. */
class LinkConnection {
    private readonly frames: FrameSocket;
    private readonly active = new Map<number, Active>();
    private readonly host: string;

    constructor(socket: Socket, private readonly dependencies: LinkServerDependencies) {
        this.host = socket.remoteAddress ?? "";
        this.frames = new FrameSocket(socket, {
            onFrame: frame => this.receive(frame),
            onClose: () => {
                const left = [...this.active.values()];
                this.active.clear();
                left.forEach(({ cancel }) => cancel());
            },
        });
    }

    private receive([kind, id, ...fields]: Frame): void {
        const active = this.active.get(id);
        switch (kind) {
            case frameKinds.request:
                this.serve(id, fields);
                return;
            case frameKinds.cancel:
                this.active.delete(id);
                active?.cancel();
                return;
            case frameKinds.pause:
                active?.stream?.stopSource();
                return;
            case frameKinds.resume:
                active?.stream?.startSource();
                return;
            case frameKinds.ping:
                this.frames.write([frameKinds.pong, id]);
        }
    }

    private serve(id: number, [hop, requestId, method, path, rawHeaders, body]: readonly unknown[]): void {
        const fields = parseHopRequest(String(hop));
        if (!fields) {
            this.frames.abort();
            return;
        }
        this.dependencies.onVersionSeen(this.host, fields.version);
        const hopRequest = this.createOrder(fields, {
            requestId: String(requestId),
            method: String(method),
            path: String(path),
            rawHeaders: rawHeaders as readonly string[],
            body: body as Buffer | undefined ?? undefined,
        });
        const active: Active = { cancel: () => undefined, stream: undefined };
        this.active.set(id, active);
        active.cancel = this.dependencies.serve(hopRequest, {
            openStream: head => {
                active.stream = new LinkStream(id, this.frames);
                const report = this.dependencies.createStreamReport(hopRequest);
                active.stream.startWith(encodeHopAnswer({ outcome: ranOutcome, report }), head);
                return active.stream;
            },
            settle: (result, report) => {
                if (this.active.delete(id) && !active.stream) {
                    this.writeResult(id, result, report!);
                }
            },
        });
    }

    private createOrder(
        fields: HopRequestFields,
        request: Pick<HopRequest, "requestId" | "method" | "path" | "rawHeaders" | "body">,
    ): HopRequest {
        return { ...fields, ...request, deadlineAtMs: this.dependencies.computeDeadline(fields.remainingMs) };
    }

    private writeResult(id: number, result: HopResult, report: LoadReport): void {
        const hop = encodeHopAnswer({ outcome: deriveOutcome(result), report });
        if (result.kind === "answered") {
            const { status, rawHeaders } = result.head;
            this.frames.write([frameKinds.answer, id, hop, status, rawHeaders, result.body]);
            return;
        }
        this.frames.write([frameKinds.answer, id, hop]);
    }
}

/** Passes a long answer on in chunks, as fast as the other side takes them. */
class LinkStream implements AnswerSink {
    private isPaused = false;
    private resumeSource: (() => void) | undefined;

    constructor(private readonly id: number, private readonly frames: FrameSocket) {}

    startWith(hop: string, { status, rawHeaders }: AnswerHead): void {
        this.frames.write([frameKinds.streamStart, this.id, hop, status, rawHeaders]);
    }

    start(): void {
        return;
    }

    write(chunk: Buffer): boolean {
        this.frames.write([frameKinds.chunk, this.id, chunk]);
        return !this.isPaused;
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
        const { resumeSource } = this;
        this.resumeSource = undefined;
        resumeSource?.();
    }
}
