/** Serves requests of other nodes, and of this node's own entry, at the local upstream. */
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader, isBodiless, relayReplacedRequestHeaders } from "../../tasks/_lib/headers";
import { deriveOutcome, encodeHopAnswer, hopHeader, type HopOutcome, parseHopRequest } from "../hop/headers";
import { type DecisionLog } from "../log";
import { type HopHandler, type HopRequest, type HopResult, type LoadReport } from "../types";
import { type CallFigures, noCalls, ServedHop, type ServedHopDependencies } from "./servedHop";

/** What the ingress works with. */
export interface IngressDependencies extends ServedHopDependencies {
    readonly log: DecisionLog;
    readonly maxBodyBytes: () => number;
    /** Creates what the sender of a request is told, with what the request itself has met. */
    readonly createReport: (hopRequest: HopRequest, met: CallFigures) => LoadReport;
    /** Told which routing version a node at a host has in force. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Time by which a request that is read now may be older than it says, in milliseconds. */
    readonly readStaleMs: () => number;
}

const unavailableStatus = 503;
const badGatewayStatus = 502;
const badRequestStatus = 400;

/** Owns the requests at the local upstream. */
export class Ingress {
    private inFlight = 0;

    constructor(private readonly dependencies: IngressDependencies) {}

    /** Number of requests without a result. */
    get pending(): number {
        return this.inFlight;
    }

    /** Serves a request; returns what gives it up. */
    serve(hopRequest: HopRequest, handler: HopHandler): () => void {
        this.inFlight += 1;
        const counting: HopHandler = {
            openStream: head => handler.openStream(head),
            settle: result => {
                this.inFlight -= 1;
                this.writeFailure(hopRequest, result);
                handler.settle(result, this.dependencies.createReport(hopRequest, served.describeMet()));
            },
        };
        const served = new ServedHop(hopRequest, counting, this.dependencies);
        if (this.dependencies.isLeaving()) {
            served.refuse("leaving");
            return () => undefined;
        }
        served.start();
        return () => served.cancel();
    }

    private writeFailure(hopRequest: HopRequest, result: HopResult): void {
        if (result.kind === "answered") {
            return;
        }
        const { queued, inFlight, limit } = this.dependencies.slots.readFigures();
        this.dependencies.log.write("hop-failed", {
            request: hopRequest.requestId,
            route: hopRequest.route,
            upstream: hopRequest.upstreamId,
            nested: hopRequest.nested,
            rank: hopRequest.rank,
            result: result.kind,
            reason: result.kind === "not-run" ? result.reason : result.cause,
            remainingMs: Math.round(hopRequest.deadlineAtMs - this.dependencies.readNowMs()),
            queued,
            inFlight,
            limit,
        });
    }

    /** Computes the deadline of a request of another node, which goes on waiting for a number of milliseconds. */
    computeDeadline(remainingMs: number): number {
        return this.dependencies.readNowMs() + remainingMs - this.dependencies.readStaleMs();
    }

    /** Handles a request with a streamed body of the node at a host. */
    handle(request: CallRequest, peerHost: string): void {
        const fields = parseHopRequest(findHeader(request.rawHeaders, hopHeader));
        if (!fields) {
            sendWhole(request.sink, badRequestStatus, [], Buffer.alloc(0));
            return;
        }
        this.dependencies.onVersionSeen(peerHost, fields.version);
        const deadlineAtMs = this.computeDeadline(fields.remainingMs);
        let isGone = false;
        let cancel = (): void => undefined;
        request.onEarlyClose(() => {
            isGone = true;
            cancel();
        });
        request.readBody({ buffered: false, maxBytes: this.dependencies.maxBodyBytes() }, result => {
            if (isGone || result.kind !== "body") {
                request.sink.abort();
                return;
            }
            const hopRequest: HopRequest = {
                ...fields,
                requestId: findHeader(request.rawHeaders, this.dependencies.names.requestId) ?? "",
                method: request.method,
                path: request.url,
                rawHeaders: createForwardHeaders(request, result.body, relayReplacedRequestHeaders),
                body: result.body,
                deadlineAtMs,
            };
            cancel = this.serve(hopRequest, new PeerAnswer(hopRequest, request.sink, this.dependencies));
        });
    }
}

/** Writes the result of a request back to the node that sent it. */
class PeerAnswer implements HopHandler {
    constructor(
        private readonly hopRequest: HopRequest,
        private readonly sink: AnswerSink,
        private readonly dependencies: IngressDependencies,
    ) {}

    openStream(head: AnswerHead): AnswerSink {
        const outcome: HopOutcome = { kind: "ran", nestedCallRefused: false };
        const report = this.dependencies.createReport(this.hopRequest, noCalls);
        this.sink.start({ status: head.status, rawHeaders: [...head.rawHeaders, ...createHopHeader(outcome, report)] });
        return this.sink;
    }

    settle(result: HopResult, report: LoadReport): void {
        const outcome = deriveOutcome(result);
        if (result.kind !== "answered") {
            const status = result.kind === "not-run" ? unavailableStatus : badGatewayStatus;
            sendWhole(this.sink, status, createHopHeader(outcome, report), Buffer.alloc(0));
            return;
        }
        if (!result.body) {
            return;
        }
        const rawHeaders = [...result.head.rawHeaders, ...createHopHeader(outcome, report)];
        sendAnswer(this.sink, this.hopRequest.method, { status: result.head.status, rawHeaders }, result.body);
    }
}

const createHopHeader = (outcome: HopOutcome, report: LoadReport): readonly string[] => [
    hopHeader,
    encodeHopAnswer({ outcome, report }),
];

const sendWhole = (sink: AnswerSink, status: number, rawHeaders: readonly string[], body: Buffer): void =>
    sendAnswer(sink, "GET", { status, rawHeaders }, body);

const removeLength = (rawHeaders: readonly string[]): readonly string[] =>
    rawHeaders.filter((unused, index) => rawHeaders[index - index % 2]!.toLowerCase() !== "content-length");

/** Sends an answer that is there as a whole; its length is stated anew, unless it has no body by its nature. */
export const sendAnswer = (sink: AnswerSink, method: string, head: AnswerHead, body: Buffer): void => {
    if (isBodiless(method, head.status)) {
        sink.start(head);
        sink.end();
        return;
    }
    const rawHeaders = [...removeLength(head.rawHeaders), "Content-Length", String(body.length)];
    sink.start({ status: head.status, rawHeaders });
    sink.write(body);
    sink.end();
};
