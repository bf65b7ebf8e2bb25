/** A request as the ingress and the egress see it, whatever it came over. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { maxReplayBodyBytes } from "../../constants";
import { type AnswerSink, ResponseSink } from "./answerSink";
import { findHeader, replacedRequestHeaders, stripHeaders } from "./headers";
import { type BodyOptions, type BodyResult, readBody, type RequestBody } from "./readBody";

/** A request with the place where its answer goes. */
export interface CallRequest {
    readonly method: string;
    /** Request target: a path with its query, or an absolute URL. */
    readonly url: string;
    /** Flat list of header names and values. */
    readonly rawHeaders: readonly string[];
    readonly sink: AnswerSink;
    /** Whether a large body has not been read yet, so that the connection is better closed than reused. */
    hasUnreadBody(): boolean;
    readBody(options: BodyOptions, finish: (result: BodyResult) => void): void;
    /** Calls back when the other side goes away before its answer is finished. */
    onEarlyClose(handle: () => void): void;
}

/** Finds a header of a request. */
export const findRequestHeader = (request: CallRequest, name: string): string | undefined =>
    findHeader(request.rawHeaders, name);

/** Creates the headers that go on with a request, without those `setAnew`; a streamed body keeps its stated length. */
export const createForwardHeaders = (
    request: CallRequest,
    body: RequestBody,
    setAnew: ReadonlySet<string> = replacedRequestHeaders,
): string[] => {
    const rawHeaders = stripHeaders(request.rawHeaders, setAnew);
    const length = findRequestHeader(request, "content-length");
    if (length !== undefined && body !== undefined && !Buffer.isBuffer(body)) {
        rawHeaders.push("content-length", length);
    }
    return rawHeaders;
};

/** A request over HTTP. */
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
    }

    hasUnreadBody(): boolean {
        const length = Number(this.request.headers["content-length"] ?? Infinity);
        return !this.request.complete && length > maxReplayBodyBytes;
    }

    readBody(options: BodyOptions, finish: (result: BodyResult) => void): void {
        if (findHeader(this.rawHeaders, "expect") !== undefined) {
            this.response.writeContinue();
        }
        readBody(this.request, options, finish);
    }

    onEarlyClose(handle: () => void): void {
        this.response.once("close", () => {
            if (!this.response.writableFinished) {
                handle();
            }
        });
    }
}
