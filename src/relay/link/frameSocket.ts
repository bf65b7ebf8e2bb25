/** A connection that carries frames. */
import { type Socket } from "node:net";
import { encodeFrame, type Frame, FrameReader } from "./frames";

/** Told what happens on a connection. */
export interface FrameListener {
    readonly onFrame: (frame: Frame) => void;
    readonly onClose: () => void;
}

/** Writes frames, those of one turn of the event loop together, and reads them. */
export class FrameSocket {
    private readonly reader = new FrameReader();
    private isCorked = false;

    constructor(private readonly socket: Socket, private readonly listener: FrameListener) {
        socket.on("data", bytes => this.receive(bytes));
        socket.on("error", () => socket.destroy());
        socket.once("close", () => listener.onClose());
    }

    /** Writes a frame; false when the other side does not keep up. */
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

    /** Breaks the connection off. */
    abort(): void {
        this.socket.destroy();
    }

    private receive(bytes: Buffer): void {
        const frames = this.reader.read(bytes);
        if (!frames) {
            this.socket.destroy();
            return;
        }
        frames.forEach(frame => this.listener.onFrame(frame));
    }
}
