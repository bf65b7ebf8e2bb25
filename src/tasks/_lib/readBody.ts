import { type IncomingMessage } from "node:http";
import { type Readable, Transform } from "node:stream";
import { maxReplayBodyBytes } from "../../constants";
import { ByteAccumulator } from "./byteAccumulator";
import { findHeader } from "./headers";

/** Request body: a buffer if it was read into memory, a stream if not; undefined if the request has no body. */
export type RequestBody = Buffer | Readable | undefined;

/** Error of a stream whose body exceeds the size limit. */
export class BodyTooLargeError extends Error {}

/** Streams a body of unknown length; the stream fails with `BodyTooLargeError` once it exceeds `maxBytes`. */
const createLimitedBody = (request: IncomingMessage, maxBytes: number): Readable => {
    let size = 0;
    const limited = new Transform({
        transform: (chunk: Buffer, encoding, callback) => {
            size += chunk.length;
            callback(size > maxBytes ? new BodyTooLargeError(`more than ${maxBytes} bytes`) : undefined, chunk);
        },
    });
    request.once("aborted", () => limited.destroy(new Error("request aborted before the end of its body")));
    return request.pipe(limited);
};

/** Result of `readBody`; "aborted": the client closed the connection before the body was complete. */
export type BodyResult =
    | { readonly kind: "body"; readonly body: RequestBody; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "aborted"; };

export interface BodyOptions {
    /** Whether the entire body is read into memory even if its length is unknown or large. */
    readonly buffered: boolean;
    /** Size limit of the body, in bytes. */
    readonly maxBytes: number;
}

/** Uses the raw headers, since reading `headers` would make Node.js create an object of all headers. */
const hasBody = ({ rawHeaders }: IncomingMessage): boolean =>
    findHeader(rawHeaders, "transfer-encoding") !== undefined
    || Number(findHeader(rawHeaders, "content-length") ?? 0) > 0;

const readIntoMemory = (request: IncomingMessage, maxBytes: number, onFinished: (result: BodyResult) => void): void => {
    const body = new ByteAccumulator();
    let size = 0;
    let isFinished = false;
    const finishOnce = (result: BodyResult): void => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        onFinished(result);
    };
    request.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > maxBytes) {
            finishOnce({ kind: "too-large" });
            return;
        }
        body.add(chunk);
    });
    request.once("end", () => finishOnce({ kind: "body", body: body.take() }));
    request.once("close", () => finishOnce({ kind: "aborted" }));
};

/**
 * Reads the body into memory if it is at most `maxReplayBodyBytes` long or has to be buffered, and opens it as a stream
 * otherwise. Calls `onFinished` once with the result.
 */
export const readBody = (
    request: IncomingMessage,
    options: BodyOptions,
    onFinished: (result: BodyResult) => void,
): void => {
    if (!hasBody(request)) {
        request.resume();
        onFinished({ kind: "body", body: undefined });
        return;
    }
    const length = findHeader(request.rawHeaders, "content-length");
    if (Number(length ?? 0) > options.maxBytes) {
        onFinished({ kind: "too-large" });
        return;
    }
    const isSmall = length !== undefined && Number(length) <= maxReplayBodyBytes;
    if (isSmall || options.buffered) {
        readIntoMemory(request, options.maxBytes, onFinished);
        return;
    }
    const body = length === undefined ? createLimitedBody(request, options.maxBytes) : request;
    onFinished({ kind: "body", body });
};
