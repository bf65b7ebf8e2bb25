/** Frames between nodes: a length, then a MessagePack array. Many requests share one connection. */
import { Packr, RESERVE_START_SPACE } from "msgpackr";

/** Kinds of frames. */
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
} as const;

/** A frame: its kind, the number of its request on the connection, and further fields. */
export type Frame = readonly [kind: number, id: number, ...fields: readonly unknown[]];

const lengthBytes = 4;
/** Longest frame that is accepted, in bytes: a whole answer or body with its headers. */
const maxFrameBytes = 2 * 1024 * 1024;

/** Strings are packed together, since decoding many short ones takes longer than cutting up a long one. */
const packr = new Packr({ useRecords: false, bundleStrings: true });

/** Encodes a frame, with its length in front. */
export const encodeFrame = (frame: Frame): Buffer => {
    const bytes = packr.pack(frame, RESERVE_START_SPACE | lengthBytes);
    bytes.writeUInt32BE(bytes.length - lengthBytes);
    return bytes;
};

/** Puts arriving bytes together to frames. */
export class FrameReader {
    private pending: Buffer = Buffer.alloc(0);

    /** Takes bytes; returns the frames that they complete, or undefined when they are no frames. */
    read(bytes: Buffer): readonly Frame[] | undefined {
        const data = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
        const frames: Frame[] = [];
        let start = 0;
        while (data.length - start >= lengthBytes) {
            const length = data.readUInt32BE(start);
            if (length > maxFrameBytes) {
                return undefined;
            }
            const end = start + lengthBytes + length;
            if (data.length < end) {
                break;
            }
            const frame = tryUnpack(data.subarray(start + lengthBytes, end));
            if (!frame) {
                return undefined;
            }
            frames.push(frame);
            start = end;
        }
        this.pending = data.subarray(start);
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
