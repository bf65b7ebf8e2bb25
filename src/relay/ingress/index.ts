/** Serves requests from other nodes and from the entry of this node at the local upstream. */
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type CallRequest, createForwardHeaders } from "../../tasks/_lib/callRequest";
import { findHeader, isBodiless, relayReplacedRequestHeaders } from "../../tasks/_lib/headers";
import { deriveOutcome, encodeHopAnswer, hopHeader, type HopOutcome, parseHopRequest } from "../hop/headers";
import { type EventLog } from "../log";
import { type HopHandler, type HopRequest, type HopResult, type LoadReport } from "../types";
import { emptyHopStats, type HopStats, ServedHop, type ServedHopDependencies } from "./servedHop";

/** Dependencies of the ingress; those that it inherits are passed on to each served request. */
export interface IngressDependencies extends ServedHopDependencies {
    readonly log: EventLog;
    /** Returns the maximum size of a streamed request body, in bytes. */
    readonly readMaxBodyBytes: () => number;
    /** Creates the load report for the sender of a request; `stats` are those of the request itself. */
    readonly createReport: (hopRequest: HopRequest, stats: HopStats) => LoadReport;
    /** Called with the routing version that the node at a host uses. */
    readonly onVersionSeen: (host: string, version: number) => void;
    /** Returns for how long the upstream has been known to leave, in milliseconds; undefined if it isn't leaving. */
    readonly readLeavingMs: () => number | undefined;
    /** Returns how long a request read now may have waited unread because of a process pause, in milliseconds. */
    readonly readStaleMs: () => number;
}

const unavailableStatus = 503;
const badGatewayStatus = 502;
const badRequestStatus = 400;

/** Serves requests at the local upstream, and reports the load to their senders. */
export class Ingress {
    private inFlight = 0;

    constructor(private readonly dependencies: IngressDependencies) {}

    /** Number of requests without a result. */
    get pending(): number {
        return this.inFlight;
    }

    /** Serves a request, or refuses it if the node is leaving; returns a function that cancels it. */
    serve(hopRequest: HopRequest, handler: HopHandler): () => void {
        this.inFlight += 1;
        const countingHandler: HopHandler = {
            openStream: head => handler.openStream(head),
            settle: result => {
                this.inFlight -= 1;
                this.writeFailedHop(hopRequest, result);
                handler.settle(result, this.dependencies.createReport(hopRequest, served.computeStats()));
            },
        };
        const served = new ServedHop(hopRequest, countingHandler, this.dependencies);
        if (this.dependencies.isLeaving()) {
            served.refuse("leaving");
            return () => undefined;
        }
        this.writeLeaving(hopRequest);
        served.start();
        return () => served.cancel();
    }

    /** Logs a request that still reaches a leaving upstream, since its sender doesn't know. */
    private writeLeaving({ requestId, upstreamId }: HopRequest): void {
        const leavingMs = this.dependencies.readLeavingMs();
        if (leavingMs !== undefined) {
            this.dependencies.log.write("leaving-upstream-used", {
                request: requestId,
                upstream: upstreamId,
                leavingMs: Math.round(leavingMs),
            });
        }
    }

    private writeFailedHop(hopRequest: HopRequest, result: HopResult): void {
        if (result.kind === "answered") {
            return;
        }
        const { queued, inFlight, limit } = this.dependencies.slots.readStats();
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

    /** Computes the monotonic deadline of a request that is read now from the remaining time that its sender states. */
    computeDeadline(remainingMs: number): number {
        return this.dependencies.readNowMs() + remainingMs - this.dependencies.readStaleMs();
    }

    /** Handles a request that the node at `peerHost` sends over HTTP, because its body is streamed. */
    handle(request: CallRequest, peerHost: string): void {
        const requestFields = parseHopRequest(findHeader(request.rawHeaders, hopHeader));
        if (!requestFields) {
            sendStatus(request.sink, badRequestStatus, [], Buffer.alloc(0));
            return;
        }
        this.dependencies.onVersionSeen(peerHost, requestFields.version);
        const deadlineAtMs = this.computeDeadline(requestFields.remainingMs);
        let isClosedEarly = false;
        let cancel = (): void => undefined;
        request.onEarlyClose(() => {
            isClosedEarly = true;
            cancel();
        });
        request.readBody({ buffered: false, maxBytes: this.dependencies.readMaxBodyBytes() }, result => {
            if (isClosedEarly || result.kind !== "body") {
                request.sink.abort();
                return;
            }
            const hopRequest: HopRequest = {
                ...requestFields,
                requestId: findHeader(request.rawHeaders, this.dependencies.headerNames.requestId) ?? "",
                method: request.method,
                path: request.url,
                rawHeaders: createForwardHeaders(request, result.body, relayReplacedRequestHeaders),
                body: result.body,
                deadlineAtMs,
            };
            cancel = this.serve(hopRequest, new PeerAnswerWriter(hopRequest, request.sink, this.dependencies));
        });
    }
}

/** Writes the answer or the failure of a request to the node that sent it over HTTP. */
class PeerAnswerWriter implements HopHandler {
    constructor(
        private readonly hopRequest: HopRequest,
        private readonly sink: AnswerSink,
        private readonly dependencies: IngressDependencies,
    ) {}

    openStream(head: AnswerHead): AnswerSink {
        const outcome: HopOutcome = { kind: "ran", nestedCallRefused: false };
        const report = this.dependencies.createReport(this.hopRequest, emptyHopStats);
        this.sink.start({ status: head.status, rawHeaders: [...head.rawHeaders, ...createHopHeader(outcome, report)] });
        return this.sink;
    }

    settle(result: HopResult, report: LoadReport): void {
        const outcome = deriveOutcome(result);
        if (result.kind !== "answered") {
            const status = result.kind === "not-run" ? unavailableStatus : badGatewayStatus;
            sendStatus(this.sink, status, createHopHeader(outcome, report), Buffer.alloc(0));
            return;
        }
        if (!result.body) {
            return;
        }
        const rawHeaders = [...result.head.rawHeaders, ...createHopHeader(outcome, report)];
        sendBufferedAnswer(this.sink, this.hopRequest.method, { status: result.head.status, rawHeaders }, result.body);
    }
}

const createHopHeader = (outcome: HopOutcome, report: LoadReport): readonly string[] => [
    hopHeader,
    encodeHopAnswer({ outcome, report }),
];

const sendStatus = (sink: AnswerSink, status: number, rawHeaders: readonly string[], body: Buffer): void =>
    sendBufferedAnswer(sink, "GET", { status, rawHeaders }, body);

const removeContentLength = (rawHeaders: readonly string[]): readonly string[] =>
    rawHeaders.filter((unused, index) => rawHeaders[index - index % 2]!.toLowerCase() !== "content-length");

/** Sends a buffered answer, with the size of the body as Content-Length unless method or status exclude a body. */
export const sendBufferedAnswer = (sink: AnswerSink, method: string, head: AnswerHead, body: Buffer): void => {
    if (isBodiless(method, head.status)) {
        sink.start(head);
        sink.end();
        return;
    }
    const rawHeaders = [...removeContentLength(head.rawHeaders), "Content-Length", String(body.length)];
    sink.start({ status: head.status, rawHeaders });
    sink.write(body);
    sink.end();
};
