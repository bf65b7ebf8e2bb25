import { type AnswerHead, type AnswerSink } from "../../tasks/_lib/answerSink";
import { type CallRequest } from "../../tasks/_lib/callRequest";
import { type Problem, sendProblem } from "../../tasks/_lib/problem";
import { sendBufferedAnswer } from "../ingress";

const closingHeaders: readonly string[] = ["Connection", "close"];

const addClosing = (head: AnswerHead): AnswerHead => ({
    ...head,
    rawHeaders: [...head.rawHeaders, ...closingHeaders],
});

/** Writes the answer to one request, and closes the connection with it if that loses no other answer. */
export class AnswerWriter {
    constructor(private readonly request: CallRequest, private readonly isNodeLeaving: () => boolean) {}

    /** Writes an answer that is complete. */
    writeAnswer(head: AnswerHead, body: Buffer): void {
        const { sink, method } = this.request;
        this.write(isClosing => sendBufferedAnswer(sink, method, isClosing ? addClosing(head) : head, body));
    }

    /** Writes a refusal or a failure. */
    writeProblem(problem: Problem): void {
        this.write(isClosing => sendProblem(this.request.sink, problem, isClosing ? closingHeaders : []));
    }

    /** Writes the head of an answer whose body follows; returns the sink for the body. */
    openStream(head: AnswerHead): AnswerSink {
        const { sink } = this.request;
        const isClosing = this.request.isTurn() && this.tryBeginClosing();
        sink.start(isClosing ? addClosing(head) : head);
        return sink;
    }

    /**
     * Writes an answer. Whether it closes the connection is decided when it is its turn: until then requests that follow
     * it are read and passed on, and their answers would be lost.
     */
    private write(writeAnswer: (isClosing: boolean) => void): void {
        if (!this.hasToClose()) {
            writeAnswer(false);
            return;
        }
        this.request.onTurn(() => writeAnswer(this.tryBeginClosing()));
    }

    /** Whether the connection should close: the node leaves, or the rest of a long body would have to be read. */
    private hasToClose(): boolean {
        return this.isNodeLeaving() || this.request.hasUnreadBody();
    }

    /** Lets the answer that is written now close the connection if it has to and no request follows. */
    private tryBeginClosing(): boolean {
        const isClosing = this.hasToClose() && this.request.isLatestOnConnection();
        if (isClosing) {
            this.request.beginClosing();
        }
        return isClosing;
    }
}
