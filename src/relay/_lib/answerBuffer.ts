import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";

/** Answers up to this size are kept whole, so that a truncated one can be replaced before anybody sees it; in bytes. */
const maxWholeBytes = 256 * 1024;

/** Keeps a short answer whole; a longer one goes on to a stream once it has outgrown the bound. */
export class AnswerBuffer implements AnswerSink {
    private head: AnswerHead | undefined;
    private chunks: Buffer[] = [];
    private size = 0;
    private stream: AnswerSink | undefined;

    constructor(private readonly openStream: (head: AnswerHead) => AnswerSink) {}

    /** The whole body, or undefined when it went to the stream. */
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
        this.size += chunk.length;
        this.chunks.push(chunk);
        if (this.size <= maxWholeBytes) {
            return true;
        }
        this.stream = this.openStream(this.head!);
        const kept = Buffer.concat(this.chunks);
        this.chunks = [];
        return this.stream.write(kept);
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
