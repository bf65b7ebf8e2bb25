/** Serves requests of other nodes, and of this node's own entry, at the local upstream. */
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader, isBodiless, requestHeadersSetAnewByRelay } from "../../tasks/_lib/headers";
import { deriveOutcome, encodeHopAnswer, hopHeader, type HopOutcome, parseHopRequest } from "../hop/headers";
import { type DecisionLog } from "../log";
import { type HopOrder, type HopOwner, type HopResult, type LoadReport } from "../types";
import { type CallFigures, noCalls, ServedHop, type ServedHopParts } from "./servedHop";

/** What the ingress works with. */
export interface IngressParts extends ServedHopParts {
    readonly log: DecisionLog;
    readonly maxBodyBytes: () => number;
    /** Creates what the sender of a request is told, with what the request itself has met. */
    readonly createReport: (order: HopOrder, met: CallFigures) => LoadReport;
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

    constructor(private readonly parts: IngressParts) {}

    /** Number of requests without a result. */
    get pending(): number {
        return this.inFlight;
    }

    /** Serves a request; returns what gives it up. */
    serve(order: HopOrder, owner: HopOwner): () => void {
        this.inFlight += 1;
        const counting: HopOwner = {
            openStream: head => owner.openStream(head),
            settle: result => {
                this.inFlight -= 1;
                this.writeFailure(order, result);
                owner.settle(result, this.parts.createReport(order, served.describeMet()));
            },
        };
        const served = new ServedHop(order, counting, this.parts);
        if (this.parts.isLeaving()) {
            served.refuse("leaving");
            return () => undefined;
        }
        served.start();
        return () => served.cancel();
    }

    private writeFailure(order: HopOrder, result: HopResult): void {
        if (result.kind === "answered") {
            return;
        }
        const { queued, inFlight, limit } = this.parts.slots.readFigures();
        this.parts.log.write("hop-failed", {
            request: order.requestId,
            route: order.route,
            upstream: order.upstreamId,
            nested: order.nested,
            rank: order.rank,
            result: result.kind,
            reason: result.kind === "not-run" ? result.reason : result.cause,
            remainingMs: Math.round(order.deadlineAtMs - this.parts.readNowMs()),
            queued,
            inFlight,
            limit,
        });
    }

    /** Computes the deadline of a request of another node, which goes on waiting for a number of milliseconds. */
    computeDeadline(remainingMs: number): number {
        return this.parts.readNowMs() + remainingMs - this.parts.readStaleMs();
    }

    /** Handles a request with a streamed body of the node at a host. */
    handle(request: CallRequest, peerHost: string): void {
        const fields = parseHopRequest(findHeader(request.rawHeaders, hopHeader));
        if (!fields) {
            sendWhole(request.sink, badRequestStatus, [], Buffer.alloc(0));
            return;
        }
        this.parts.onVersionSeen(peerHost, fields.version);
        const deadlineAtMs = this.computeDeadline(fields.remainingMs);
        let isGone = false;
        let cancel = (): void => undefined;
        request.onEarlyClose(() => {
            isGone = true;
            cancel();
        });
        request.readBody({ whole: false, maxBytes: this.parts.maxBodyBytes() }, result => {
            if (isGone || result.kind !== "body") {
                request.sink.abort();
                return;
            }
            const order: HopOrder = {
                ...fields,
                requestId: findHeader(request.rawHeaders, this.parts.names.requestId) ?? "",
                method: request.method,
                path: request.url,
                rawHeaders: createForwardHeaders(request, result.body, requestHeadersSetAnewByRelay),
                body: result.body,
                deadlineAtMs,
            };
            cancel = this.serve(order, new PeerAnswer(order, request.sink, this.parts));
        });
    }
}

/** Writes the result of a request back to the node that sent it. */
class PeerAnswer implements HopOwner {
    constructor(
        private readonly order: HopOrder,
        private readonly sink: AnswerSink,
        private readonly parts: IngressParts,
    ) {}

    openStream(head: AnswerHead): AnswerSink {
        const outcome: HopOutcome = { kind: "ran", refusedBelow: false };
        const report = this.parts.createReport(this.order, noCalls);
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
        sendAnswer(this.sink, this.order.method, { status: result.head.status, rawHeaders }, result.body);
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
