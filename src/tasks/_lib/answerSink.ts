/** Destinations of an answer: an HTTP response, memory, or nowhere. */
import { type ServerResponse } from "node:http";
import { ByteAccumulator } from "./byteAccumulator";

/** Status and headers of an answer, which precede its body. */
export interface AnswerHead {
    readonly status: number;
    /** Flat list of header names and values. */
    readonly rawHeaders: readonly string[];
}

/** Receives one answer: its head, then its body in chunks, then either `end` or `abort`. */
export interface AnswerSink {
    start(head: AnswerHead): void;
    /** Returns false if the writer has to pause until `onDrain` calls its callback. */
    write(chunk: Buffer): boolean;
    /** Calls `resume` once, when the sink accepts more data. */
    onDrain(resume: () => void): void;
    end(): void;
    /** Aborts the answer so that the receiver can't mistake it for a complete one. */
    abort(): void;
}

/** Writes an answer to an HTTP response; discards it if the client has closed the connection. */
export class ResponseSink implements AnswerSink {
    constructor(private readonly response: ServerResponse) {}

    start(head: AnswerHead): void {
        if (this.response.destroyed) {
            return;
        }
        this.response.writeHead(head.status, head.rawHeaders as string[]);
    }

    write(chunk: Buffer): boolean {
        return this.response.destroyed || this.response.write(chunk);
    }

    onDrain(resume: () => void): void {
        this.response.once("drain", resume);
    }

    end(): void {
        this.response.end();
    }

    abort(): void {
        if (!this.response.headersSent) {
            this.response.destroy();
            return;
        }
        if (this.response.socket) {
            this.response.socket.resetAndDestroy();
            return;
        }
        // The answer waits for an earlier one of its connection, which is still written.
        this.response.once("socket", socket => socket.resetAndDestroy());
    }
}

/** Wraps a sink whose head has already been written, so that `start` does nothing. */
export class StartedSink implements AnswerSink {
    constructor(private readonly sink: AnswerSink) {}

    start(): void {
        return;
    }

    write(chunk: Buffer): boolean {
        return this.sink.write(chunk);
    }

    onDrain(resume: () => void): void {
        this.sink.onDrain(resume);
    }

    end(): void {
        this.sink.end();
    }

    abort(): void {
        this.sink.abort();
    }
}

/** Discards an answer that no caller waits for any more. */
export class DiscardingSink implements AnswerSink {
    start(): void {
        return;
    }

    write(): boolean {
        return true;
    }

    onDrain(resume: () => void): void {
        resume();
    }

    end(): void {
        return;
    }

    abort(): void {
        return;
    }
}

/** Complete answer that is kept in memory. */
export interface RecordedAnswer {
    readonly head: AnswerHead;
    readonly body: Buffer;
}

/** Keeps an answer in memory; passes undefined to `onEnd` if the answer was aborted or its body exceeds `maxBytes`. */
export class RecordingSink implements AnswerSink {
    private head: AnswerHead | undefined;
    private readonly recorded = new ByteAccumulator();
    private size = 0;

    constructor(
        private readonly maxBytes: number,
        private readonly onEnd: (answer: RecordedAnswer | undefined) => void,
    ) {}

    start(head: AnswerHead): void {
        this.head = head;
    }

    write(chunk: Buffer): boolean {
        this.size += chunk.length;
        if (this.size <= this.maxBytes) {
            this.recorded.add(chunk);
        }
        return true;
    }

    onDrain(resume: () => void): void {
        resume();
    }

    end(): void {
        const isComplete = this.head !== undefined && this.size <= this.maxBytes;
        this.onEnd(isComplete ? { head: this.head!, body: this.recorded.take() } : undefined);
    }

    abort(): void {
        this.onEnd(undefined);
    }
}
