/** Reads and writes frames on a TCP connection. */
import { type Socket } from "node:net";
import { encodeFrame, type Frame, FrameReader } from "./frames";

/** Called with the exception of a frame that could not be handled. */
export type FrameFailureListener = (error: Error) => void;

/** Receives the frames of a connection, and its end. */
export interface FrameListener {
    readonly onFrame: (frame: Frame) => void;
    readonly onFrameFailed: FrameFailureListener;
    readonly onClose: () => void;
}

/** Reads frames, and writes all frames of one turn of the event loop together. Invalid frames close the connection. */
export class FrameSocket {
    private readonly reader = new FrameReader();
    private isCorked = false;
    private readonly drainHandlers: (() => void)[] = [];

    constructor(private readonly socket: Socket, private readonly listener: FrameListener) {
        socket.on("data", bytes => this.receive(bytes));
        socket.on("error", () => socket.destroy());
        socket.on("drain", () => this.drainHandlers.splice(0).forEach(resume => resume()));
        socket.once("close", () => listener.onClose());
    }

    /** Writes a frame; returns false if the connection is closed, or if its send buffer is full and the frame waits. */
    write(frame: Frame): boolean {
        if (this.socket.destroyed) {
            return false;
        }
        if (!this.isCorked) {
            this.isCorked = true;
            this.socket.cork();
            process.nextTick(() => {
                this.isCorked = false;
                this.socket.uncork();
            });
        }
        return this.socket.write(encodeFrame(frame));
    }

    /** Calls `resume` once, when the send buffer has been sent; never if the connection closes first. */
    onDrain(resume: () => void): void {
        this.drainHandlers.push(resume);
    }

    /** Closes the connection without sending queued frames. */
    abort(): void {
        this.socket.destroy();
    }

    private receive(bytes: Buffer): void {
        const frames = this.reader.read(bytes);
        if (!frames) {
            this.socket.destroy();
            return;
        }
        frames.forEach(frame => this.handleFrame(frame));
    }

    /** Passes a frame on. A frame that makes its handler throw doesn't keep those behind it from being handled. */
    private handleFrame(frame: Frame): void {
        try {
            this.listener.onFrame(frame);
        }
        catch (error) {
            this.listener.onFrameFailed(error as Error);
        }
    }
}
