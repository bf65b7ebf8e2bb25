import { type IncomingMessage } from "node:http";
import { type Readable, Transform } from "node:stream";
import { maxReplayBodyBytes } from "../../constants";
import { findHeader } from "./headers";

/** Request body: a buffer if it was read into memory, otherwise the stream itself. */
export type RequestBody = Buffer | Readable | undefined;

/** Thrown when a streamed body exceeds the size limit of request bodies. */
export class BodyTooLargeError extends Error {}

/** Streams a body of unknown length; the stream fails once the body exceeds `maxBytes`. */
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

/** Result of reading the body of a request. */
export type BodyResult =
    | { readonly kind: "body"; readonly body: RequestBody; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "aborted"; };

/** Options for reading a body. */
export interface BodyOptions {
    /** Reads the entire body into memory even if its length is unknown or large. */
    readonly buffered: boolean;
    /** Size limit of the body, in bytes. */
    readonly maxBytes: number;
}

/** Reads the raw headers, since Node.js would build the object of all headers for this check alone. */
const hasBody = ({ rawHeaders }: IncomingMessage): boolean =>
    findHeader(rawHeaders, "transfer-encoding") !== undefined
    || Number(findHeader(rawHeaders, "content-length") ?? 0) > 0;

const readIntoMemory = (request: IncomingMessage, maxBytes: number, finish: (result: BodyResult) => void): void => {
    const chunks: Buffer[] = [];
    let size = 0;
    let isFinished = false;
    const finishOnce = (result: BodyResult): void => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        finish(result);
    };
    request.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > maxBytes) {
            finishOnce({ kind: "too-large" });
            return;
        }
        chunks.push(chunk);
    });
    request.once(
        "end",
        () => finishOnce({ kind: "body", body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) }),
    );
    request.once("close", () => finishOnce({ kind: "aborted" }));
};

/** Reads the body of a request into memory if it is small or has to be buffered, then calls `finish`. */
export const readBody = (
    request: IncomingMessage,
    options: BodyOptions,
    finish: (result: BodyResult) => void,
): void => {
    if (!hasBody(request)) {
        request.resume();
        finish({ kind: "body", body: undefined });
        return;
    }
    const length = findHeader(request.rawHeaders, "content-length");
    if (Number(length ?? 0) > options.maxBytes) {
        finish({ kind: "too-large" });
        return;
    }
    const isSmall = length !== undefined && Number(length) <= maxReplayBodyBytes;
    if (isSmall || options.buffered) {
        readIntoMemory(request, options.maxBytes, finish);
        return;
    }
    const body = length === undefined ? createLimitedBody(request, options.maxBytes) : request;
    finish({ kind: "body", body });
};
