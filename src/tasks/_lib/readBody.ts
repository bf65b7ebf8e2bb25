import { type IncomingMessage } from "node:http";
import { type Readable, Transform } from "node:stream";
import { maxReplayBodyBytes } from "../../constants";
import { findHeader } from "./headers";

/** A request body: whole in memory when it is small, otherwise the stream itself. */
export type RequestBody = Buffer | Readable | undefined;

/** A streamed body grew larger than the bound on request bodies. */
export class BodyTooLargeError extends Error {}

/** Passes a body of unknown length on, up to a bound. */
const createBoundedBody = (request: IncomingMessage, maxBytes: number): Readable => {
    let size = 0;
    const bounded = new Transform({
        transform: (chunk: Buffer, encoding, callback) => {
            size += chunk.length;
            callback(size > maxBytes ? new BodyTooLargeError(`more than ${maxBytes} bytes`) : undefined, chunk);
        },
    });
    request.once("aborted", () => bounded.destroy(new Error("the request broke off")));
    return request.pipe(bounded);
};

/** Result of taking a body from a request. */
export type BodyResult =
    | { readonly kind: "body"; readonly body: RequestBody; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "aborted"; };

/** Which bodies are read whole, and how large they may be. */
export interface BodyOptions {
    /** Reads the body whole even when its length is unknown or large. */
    readonly buffered: boolean;
    readonly maxBytes: number;
}

/** Reads the raw headers: the object of all headers would be made for each request, and for this alone. */
const hasBody = ({ rawHeaders }: IncomingMessage): boolean =>
    findHeader(rawHeaders, "transfer-encoding") !== undefined
    || Number(findHeader(rawHeaders, "content-length") ?? 0) > 0;

const readWhole = (request: IncomingMessage, maxBytes: number, finish: (result: BodyResult) => void): void => {
    const chunks: Buffer[] = [];
    let size = 0;
    let finished = false;
    const finishOnce = (result: BodyResult): void => {
        if (finished) {
            return;
        }
        finished = true;
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

/** Reads a request's body as far as it has to be in memory, then calls back. */
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
        readWhole(request, options.maxBytes, finish);
        return;
    }
    const body = length === undefined ? createBoundedBody(request, options.maxBytes) : request;
    finish({ kind: "body", body });
};
