/** Requests as the ingress and the egress handle them, independent of whether they arrived over HTTP. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { maxReplayBodyBytes } from "../../constants";
import { type AnswerSink, ResponseSink } from "./answerSink";
import { CallConnection } from "./callConnection";
import { findHeader, replacedRequestHeaders, stripHeaders } from "./headers";
import { type BodyOptions, type BodyResult, readBody, type RequestBody } from "./readBody";

/** Received request with the sink for its answer. */
export interface CallRequest {
    readonly method: string;
    /** Request target: a path with its query, or an absolute URL. */
    readonly url: string;
    /** Flat list of header names and values. */
    readonly rawHeaders: readonly string[];
    readonly sink: AnswerSink;
    /**
     * Whether the body has not been received completely and is larger than `maxReplayBodyBytes` or of unknown length.
     * The connection should then be closed with the answer, since its rest would have to be read first.
     */
    hasUnreadBody(): boolean;
    /** Whether an earlier answer closes the connection, so that the client sends this request again as an unread one. */
    readonly isBehindClose: boolean;
    /** Calls `handle` when the answers to all earlier requests of the connection have been written; at once if they have. */
    onTurn(handle: () => void): void;
    /** Whether the answers to all earlier requests of the connection have been written. */
    isTurn(): boolean;
    /**
     * Whether no later request has been received over the same connection. The connection may close with the answer
     * only then: the answers to pipelined requests that follow would be lost.
     */
    isLatestOnConnection(): boolean;
    /** Records that the answer that is written now closes the connection: requests that follow are not read any more. */
    beginClosing(): void;
    /** Reads the body into memory or opens its stream, as the options require, then calls `onFinished` once. */
    readBody(options: BodyOptions, onFinished: (result: BodyResult) => void): void;
    /** Calls `handle` if the client closes the connection before the answer is complete. */
    onEarlyClose(handle: () => void): void;
    /** Calls `handle` once when the answer has been sent or the connection has closed. */
    onEnd(handle: () => void): void;
}

/** Finds the first value of a header of a request; the name must be in lower case. */
export const findRequestHeader = (request: CallRequest, name: string): string | undefined =>
    findHeader(request.rawHeaders, name);

/**
 * Creates the end-to-end headers of the forwarded request, without `replacedHeaders`.
 * Content-Length is kept only for a streamed body; the HTTP client sets it for a body in memory.
 */
export const createForwardHeaders = (
    request: CallRequest,
    body: RequestBody,
    replacedHeaders: ReadonlySet<string> = replacedRequestHeaders,
): string[] => {
    const rawHeaders = stripHeaders(request.rawHeaders, replacedHeaders);
    const length = findRequestHeader(request, "content-length");
    if (length !== undefined && body !== undefined && !Buffer.isBuffer(body)) {
        rawHeaders.push("content-length", length);
    }
    return rawHeaders;
};

/** Request that was received over HTTP. */
export class HttpCallRequest implements CallRequest {
    readonly method: string;
    readonly url: string;
    readonly rawHeaders: readonly string[];
    readonly sink: AnswerSink;
    readonly isBehindClose: boolean;
    private readonly connection: CallConnection;

    constructor(private readonly request: IncomingMessage, private readonly response: ServerResponse) {
        this.method = request.method!;
        this.url = request.url!;
        this.rawHeaders = request.rawHeaders;
        this.sink = new ResponseSink(response);
        this.connection = CallConnection.get(request.socket);
        this.isBehindClose = this.connection.isClosing;
        this.connection.addRequest(request);
    }

    hasUnreadBody(): boolean {
        const { complete, headers } = this.request;
        const lengthWithoutHeader = headers["transfer-encoding"] === undefined ? 0 : Infinity;
        return !complete && Number(headers["content-length"] ?? lengthWithoutHeader) > maxReplayBodyBytes;
    }

    isLatestOnConnection(): boolean {
        return this.connection.isLatest(this.request);
    }

    isTurn(): boolean {
        return Boolean(this.response.socket);
    }

    onTurn(handle: () => void): void {
        if (this.isTurn()) {
            handle();
            return;
        }
        this.response.once("socket", handle);
    }

    beginClosing(): void {
        this.connection.beginClosing();
    }

    readBody(options: BodyOptions, onFinished: (result: BodyResult) => void): void {
        if (findHeader(this.rawHeaders, "expect") !== undefined) {
            this.response.writeContinue();
        }
        readBody(this.request, options, onFinished);
    }

    onEarlyClose(handle: () => void): void {
        // Node.js emits nothing on the responses behind the first one when their connection closes.
        this.response.once("finish", this.connection.onClose(handle));
    }

    onEnd(handle: () => void): void {
        const removeHandler = this.connection.onClose(handle);
        this.response.once("finish", () => {
            removeHandler();
            handle();
        });
    }
}
