/** Rate-limited event log, so that overload of a node does not flood its logs. */
import { type Logger } from "pino";

/** Fields of a log line; undefined ones are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Maximum number of lines that `write` passes on in a window of one second. */
const maxLinesPerSecond = 20;
const windowMs = 1_000;

/** Writes a log line for each event up to a limit per second; reports by event how many lines it omitted. */
export class EventLog {
    private readonly requestLines: LimitedLines;
    private readonly stateLines: LimitedLines;

    constructor(private readonly logger: Logger, readNowMs: () => number) {
        this.requestLines = new LimitedLines(logger, readNowMs);
        this.stateLines = new LimitedLines(logger, readNowMs);
    }

    /** Writes a line about a request, or counts it as omitted. */
    write(event: string, fields: LogFields): void {
        this.requestLines.write(event, fields);
    }

    /** Writes a line about what the node knows, or counts it as omitted. Lines about requests don't displace it. */
    writeState(event: string, fields: LogFields): void {
        this.stateLines.write(event, fields);
    }

    /** Writes a line about an exception that nobody else handles, or counts it as omitted. */
    writeFailure(event: string, { stack, message }: Error, fields: LogFields = {}): void {
        this.stateLines.write(event, { ...fields, detail: stack ?? message });
    }

    /** Writes a line regardless of the rate limit; for rare events of the node itself. */
    writeAlways(event: string, fields: LogFields): void {
        this.logger.info(fields, event);
    }
}

/** Lines that share a limit per second. */
class LimitedLines {
    private windowStartMs = 0;
    private windowLineCount = 0;
    private readonly omittedCounts = new Map<string, number>();

    constructor(private readonly logger: Logger, private readonly readNowMs: () => number) {}

    /** Writes a line, or counts it as omitted if the limit is reached; the next window begins with these counts. */
    write(event: string, fields: LogFields): void {
        const nowMs = this.readNowMs();
        if (nowMs - this.windowStartMs >= windowMs) {
            this.reportOmittedLines();
            this.windowStartMs = nowMs;
            this.windowLineCount = 0;
        }
        if (this.windowLineCount >= maxLinesPerSecond) {
            this.omittedCounts.set(event, (this.omittedCounts.get(event) ?? 0) + 1);
            return;
        }
        this.windowLineCount += 1;
        this.logger.info(fields, event);
    }

    private reportOmittedLines(): void {
        this.omittedCounts.forEach((count, event) => this.logger.info({ omitted: event, count }, "lines-omitted"));
        this.omittedCounts.clear();
    }
}
