/** Rate-limited event log, so that overload of a node does not flood its logs. */
import { type Logger } from "pino";

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Maximum number of rate-limited lines that a node writes per window. */
const maxLinesPerSecond = 20;
const windowMs = 1_000;

/** Writes one line per event up to a limit per second, and counts the lines that it omits. */
export class EventLog {
    private windowStartMs = 0;
    private lineCount = 0;
    private readonly omittedCounts = new Map<string, number>();

    constructor(private readonly logger: Logger, private readonly readNowMs: () => number) {}

    /** Writes a line, or counts it as omitted if the limit of the current window is reached. */
    write(event: string, fields: LogFields): void {
        const nowMs = this.readNowMs();
        if (nowMs - this.windowStartMs >= windowMs) {
            this.reportOmittedLines();
            this.windowStartMs = nowMs;
            this.lineCount = 0;
        }
        if (this.lineCount >= maxLinesPerSecond) {
            this.omittedCounts.set(event, (this.omittedCounts.get(event) ?? 0) + 1);
            return;
        }
        this.lineCount += 1;
        this.logger.info(fields, event);
    }

    /** Writes a line without the rate limit; for rare events of the node itself. */
    writeAlways(event: string, fields: LogFields): void {
        this.logger.info(fields, event);
    }

    private reportOmittedLines(): void {
        this.omittedCounts.forEach((count, event) => this.logger.info({ omitted: event, count }, "lines-omitted"));
        this.omittedCounts.clear();
    }
}
