/** Encoding of the frames between nodes: a length prefix, then a MessagePack array. */
import { Packr, RESERVE_START_SPACE } from "msgpackr";

/** Kinds of frames, as numbered on the wire. */
export const frameKinds = {
    request: 0,
    cancel: 1,
    answer: 2,
    streamStart: 3,
    chunk: 4,
    streamEnd: 5,
    streamAbort: 6,
    pause: 7,
    resume: 8,
    ping: 9,
    pong: 10,
    tokenQuery: 11,
    tokenAnswer: 12,
} as const;

/** A frame: its kind, the id of its request on the connection, and fields that depend on the kind. */
export type Frame = readonly [kind: number, id: number, ...fields: readonly unknown[]];

const lengthPrefixBytes = 4;
/** Maximum accepted length of a frame, in bytes; fits a buffered request or answer with its headers. */
const maxFrameBytes = 2 * 1024 * 1024;

/** Bundles all strings of a frame into one, since decoding many short strings takes longer than slicing one. */
const packr = new Packr({ useRecords: false, bundleStrings: true });

/** Encodes a frame with its length prefix. */
export const encodeFrame = (frame: Frame): Buffer => {
    const bytes = packr.pack(frame, RESERVE_START_SPACE | lengthPrefixBytes);
    bytes.writeUInt32BE(bytes.length - lengthPrefixBytes);
    return bytes;
};

/** Assembles frames from the bytes received on one connection. */
export class FrameReader {
    private incompleteFrame: Buffer = Buffer.alloc(0);

    /** Returns the frames that `bytes` complete, or undefined if a frame is too long or can't be decoded. */
    read(bytes: Buffer): readonly Frame[] | undefined {
        const buffered = this.incompleteFrame.length === 0 ? bytes : Buffer.concat([this.incompleteFrame, bytes]);
        const frames: Frame[] = [];
        let start = 0;
        while (buffered.length - start >= lengthPrefixBytes) {
            const length = buffered.readUInt32BE(start);
            if (length > maxFrameBytes) {
                return undefined;
            }
            const end = start + lengthPrefixBytes + length;
            if (buffered.length < end) {
                break;
            }
            const frame = tryUnpack(buffered.subarray(start + lengthPrefixBytes, end));
            if (!frame) {
                return undefined;
            }
            frames.push(frame);
            start = end;
        }
        this.incompleteFrame = buffered.subarray(start);
        return frames;
    }
}

const tryUnpack = (payload: Buffer): Frame | undefined => {
    try {
        const value: unknown = packr.unpack(payload);
        return Array.isArray(value) && typeof value[0] === "number" && typeof value[1] === "number"
            ? value as unknown as Frame
            : undefined;
    }
    catch {
        return undefined;
    }
};
