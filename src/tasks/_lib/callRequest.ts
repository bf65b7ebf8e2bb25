/** Requests as the ingress and the egress handle them, independent of whether they arrived over HTTP. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { maxReplayBodyBytes } from "../../constants";
import { type AnswerSink, ResponseSink } from "./answerSink";
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
    /**
     * Whether no later request has been received over the same connection. The connection may close with the answer
     * only then: the answers to pipelined requests that follow would be lost.
     */
    isLatestOnConnection(): boolean;
    /** Reads the body into memory or opens its stream, as the options require, then calls `onFinished` once. */
    readBody(options: BodyOptions, onFinished: (result: BodyResult) => void): void;
    /** Calls `handle` if the client closes the connection before the answer is complete. */
    onEarlyClose(handle: () => void): void;
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

/** The latest request that each connection has received. */
const latestRequests = new WeakMap<Socket, IncomingMessage>();

/** Request that was received over HTTP. */
export class HttpCallRequest implements CallRequest {
    readonly method: string;
    readonly url: string;
    readonly rawHeaders: readonly string[];
    readonly sink: AnswerSink;

    constructor(private readonly request: IncomingMessage, private readonly response: ServerResponse) {
        this.method = request.method!;
        this.url = request.url!;
        this.rawHeaders = request.rawHeaders;
        this.sink = new ResponseSink(response);
        latestRequests.set(request.socket, request);
    }

    hasUnreadBody(): boolean {
        const { complete, headers } = this.request;
        const lengthWithoutHeader = headers["transfer-encoding"] === undefined ? 0 : Infinity;
        return !complete && Number(headers["content-length"] ?? lengthWithoutHeader) > maxReplayBodyBytes;
    }

    isLatestOnConnection(): boolean {
        return latestRequests.get(this.request.socket) === this.request;
    }

    readBody(options: BodyOptions, onFinished: (result: BodyResult) => void): void {
        if (findHeader(this.rawHeaders, "expect") !== undefined) {
            this.response.writeContinue();
        }
        readBody(this.request, options, onFinished);
    }

    onEarlyClose(handle: () => void): void {
        this.response.once("close", () => {
            if (!this.response.writableFinished) {
                handle();
            }
        });
    }
}
