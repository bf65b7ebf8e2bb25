/** Lines on decisions, bounded in number, so that overload does not turn into an overload of logs. */
import { type Logger } from "pino";

/** Fields of a line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Lines that one node writes on requests in a second. */
const maxLinesPerSecond = 20;
const windowMs = 1_000;

/** Writes one line for each decision as long as the budget lasts, then counts what it leaves out. */
export class EventLog {
    private windowStartMs = 0;
    private lines = 0;
    private readonly omitted = new Map<string, number>();

    constructor(private readonly logger: Logger, private readonly readNowMs: () => number) {}

    /** Writes a line about a request, if the budget allows it. */
    write(event: string, fields: LogFields): void {
        const nowMs = this.readNowMs();
        if (nowMs - this.windowStartMs >= windowMs) {
            this.reportOmitted();
            this.windowStartMs = nowMs;
            this.lines = 0;
        }
        if (this.lines >= maxLinesPerSecond) {
            this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
            return;
        }
        this.lines += 1;
        this.logger.info(fields, event);
    }

    /** Writes a line about the node itself; these are few and never left out. */
    writeAlways(event: string, fields: LogFields): void {
        this.logger.info(fields, event);
    }

    private reportOmitted(): void {
        this.omitted.forEach((count, event) => this.logger.info({ omitted: event, count }, "lines-omitted"));
        this.omitted.clear();
    }
}
