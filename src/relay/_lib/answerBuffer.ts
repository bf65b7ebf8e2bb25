import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";

/** Maximum size of a buffered body, in bytes. An incomplete answer can be replaced only while it is buffered. */
const maxBufferedBytes = 256 * 1024;

/** Buffers a short answer completely; opens a stream for an answer that exceeds the maximum size. */
export class AnswerBuffer implements AnswerSink {
    private head: AnswerHead | undefined;
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;
    private stream: AnswerSink | undefined;

    constructor(private readonly openStream: (head: AnswerHead) => AnswerSink) {}

    /** Returns the complete body, or undefined if it was written to the stream. */
    takeBody(): Buffer | undefined {
        if (this.stream) {
            return undefined;
        }
        return this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    }

    start(head: AnswerHead): void {
        this.head = head;
    }

    write(chunk: Buffer): boolean {
        if (this.stream) {
            return this.stream.write(chunk);
        }
        this.bufferedBytes += chunk.length;
        this.chunks.push(chunk);
        if (this.bufferedBytes <= maxBufferedBytes) {
            return true;
        }
        this.stream = this.openStream(this.head!);
        const buffered = Buffer.concat(this.chunks);
        this.chunks = [];
        return this.stream.write(buffered);
    }

    onDrain(resume: () => void): void {
        this.stream?.onDrain(resume);
    }

    end(): void {
        this.stream?.end();
    }

    abort(): void {
        this.stream?.abort();
    }
}
