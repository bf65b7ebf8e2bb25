/** Destinations of an answer: where its head, body and end go. */
import { type ServerResponse } from "node:http";

/** Head of an answer. */
export interface AnswerHead {
    readonly status: number;
    /** Flat list of header names and values. */
    readonly rawHeaders: readonly string[];
}

/** Takes one answer in parts: the head once, then the body, then its end or its break. */
export interface AnswerSink {
    start(head: AnswerHead): void;
    /** Returns false when the sink wants no more until `onDrain` calls back. */
    write(chunk: Buffer): boolean;
    onDrain(resume: () => void): void;
    end(): void;
    /** Breaks the answer off, so that it can't be taken for a whole one. */
    abort(): void;
}

/** Passes an answer on to a waiting HTTP client. */
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
        this.response.socket?.resetAndDestroy();
    }
}

/** A sink whose head has been written already. */
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

/** Takes an answer that nobody waits for. */
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

/** A whole answer that was kept. */
export interface RecordedAnswer {
    readonly head: AnswerHead;
    readonly body: Buffer;
}

/** Keeps an answer up to a bound on its size. */
export class RecordingSink implements AnswerSink {
    private head: AnswerHead | undefined;
    private readonly chunks: Buffer[] = [];
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
            this.chunks.push(chunk);
        }
        return true;
    }

    onDrain(resume: () => void): void {
        resume();
    }

    end(): void {
        const whole = this.head !== undefined && this.size <= this.maxBytes;
        this.onEnd(whole ? { head: this.head!, body: Buffer.concat(this.chunks) } : undefined);
    }

    abort(): void {
        this.onEnd(undefined);
    }
}
