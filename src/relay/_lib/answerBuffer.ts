import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { ByteAccumulator } from "../../tasks/_lib/byteAccumulator";

/** Maximum size of a buffered body, in bytes. An incomplete answer can be replaced only while it is buffered. */
const maxBufferedBytes = 256 * 1024;

/** Buffers a short answer completely; opens a stream for an answer that exceeds the maximum size. */
export class AnswerBuffer implements AnswerSink {
    private head: AnswerHead | undefined;
    private readonly buffered = new ByteAccumulator();
    private stream: AnswerSink | undefined;

    constructor(private readonly openStream: (head: AnswerHead) => AnswerSink) {}

    /** Returns the complete body, or undefined if it was written to the stream. */
    takeBody(): Buffer | undefined {
        return this.stream ? undefined : this.buffered.take();
    }

    start(head: AnswerHead): void {
        this.head = head;
    }

    write(chunk: Buffer): boolean {
        if (this.stream) {
            return this.stream.write(chunk);
        }
        this.buffered.add(chunk);
        if (this.buffered.length <= maxBufferedBytes) {
            return true;
        }
        this.stream = this.openStream(this.head!);
        return this.stream.write(this.buffered.take());
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
