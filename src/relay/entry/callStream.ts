import { type AnswerSink, StartedSink } from "../../tasks/_lib/answerSink";

/** Writes a streamed answer to the caller and reports its end. */
export class CallStream extends StartedSink {
    private isEnded = false;

    constructor(sink: AnswerSink, private readonly onEnded: (outcome: "streamed" | "broken-off") => void) {
        super(sink);
    }

    override end(): void {
        super.end();
        this.finishOnce("streamed");
    }

    override abort(): void {
        super.abort();
        this.finishOnce("broken-off");
    }

    private finishOnce(outcome: "streamed" | "broken-off"): void {
        if (!this.isEnded) {
            this.isEnded = true;
            this.onEnded(outcome);
        }
    }
}
