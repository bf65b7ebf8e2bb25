/** Sends a request with a streamed body to the node of another instance over HTTP. */
import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { Attempt, type AttemptHandler, type AttemptResult, type Dispatch, sendAttempt } from "../../tasks/_lib/attempt";
import { findHeader, noHeaders, stripHeaders } from "../../tasks/_lib/headers";
import { AnswerBuffer } from "../_lib/answerBuffer";
import { type HopHandler, type HopRequest, type HopResult } from "../types";
import { type HopAnswerFields, hopHeader, parseHopAnswer } from "./headers";

/** Connection pool of the target node, and the encoder of the hop header. */
export interface RemoteHopDependencies {
    readonly pool: Dispatch;
    /** Encodes the hop header of a request. */
    readonly encodeRequest: (hopRequest: HopRequest) => string;
}

/** Sends one request over HTTP, and derives its result from the answer and the hop header on it. */
export class RemoteHop implements AttemptHandler {
    private readonly attempt: Attempt;
    private readonly buffer: AnswerBuffer;
    private answer: HopAnswerFields | undefined;
    private head: AnswerHead | undefined;

    constructor(
        private readonly hopRequest: HopRequest,
        private readonly handler: HopHandler,
        private readonly dependencies: RemoteHopDependencies,
    ) {
        this.attempt = new Attempt(hopRequest.method, this);
        this.buffer = new AnswerBuffer(head => handler.openStream(head));
    }

    start(): void {
        const { hopRequest, dependencies } = this;
        const rawHeaders = [...hopRequest.rawHeaders, hopHeader, dependencies.encodeRequest(hopRequest)];
        const { method, path, body, idempotent } = hopRequest;
        sendAttempt(dependencies.pool, { method, path, rawHeaders, body, idempotent }, this.attempt);
    }

    /** Aborts the request; the handler gets the result before this method returns. */
    cancel(cause: "timeout" | "cancelled" | "connection"): void {
        this.attempt.abort(cause);
    }

    startAnswer(head: AnswerHead): AnswerSink | undefined {
        this.answer = parseHopAnswer(findHeader(head.rawHeaders, hopHeader));
        this.head = { status: head.status, rawHeaders: stripHeaders(head.rawHeaders, noHeaders) };
        if (this.answer?.outcome.kind !== "ran") {
            return undefined;
        }
        this.buffer.start(this.head);
        return this.buffer;
    }

    finish(result: AttemptResult): void {
        this.handler.settle(this.deriveResult(result), this.answer?.report);
    }

    private deriveResult(result: AttemptResult): HopResult {
        if (result.kind === "unsent") {
            return result.cause === "connection"
                ? { kind: "not-run", reason: "unreachable" }
                : { kind: "not-run", reason: "expired" };
        }
        const outcome = this.answer?.outcome;
        if (outcome?.kind === "not-run") {
            return outcome;
        }
        if (result.kind === "incomplete") {
            return { kind: "may-have-run", cause: result.cause };
        }
        if (outcome?.kind !== "ran") {
            return { kind: "may-have-run", cause: outcome ? "connection" : "foreign-answer" };
        }
        return {
            kind: "answered",
            head: this.head!,
            body: this.buffer.takeBody(),
            nestedCallRefused: outcome.nestedCallRefused,
        };
    }
}
