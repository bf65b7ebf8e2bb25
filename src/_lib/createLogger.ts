import logfmt from "logfmt";
import pino, { type Logger } from "pino";

/** Converts one JSON line of the logger to a line in logfmt; escapes line breaks within values. */
export const formatLogLine = (jsonLine: string): string => {
    const fields = JSON.parse(jsonLine) as Record<string, unknown>;
    const entries = Object.entries(fields).map(([key, value]) => [
        key,
        typeof value === "string" ? value.replaceAll("\n", "\\n") : value,
    ]);
    return `${logfmt.stringify(Object.fromEntries(entries))}\n`;
};

/** Maximum size of the buffer for lines that standard output has not accepted yet; further lines are dropped. */
const maxBufferedBytes = 1024 * 1024;
const stdoutDescriptor = 1;

/**
 * Creates a logger that writes one logfmt line for each event to standard output. It writes asynchronously, so that a
 * stalled reader of standard output causes dropped lines, but never delays requests. `base` contains fields that are
 * added to every line.
 */
export const createLogger = (level: string, base: Readonly<Record<string, string>>): Logger => {
    const destination = pino.destination({ dest: stdoutDescriptor, sync: false, maxLength: maxBufferedBytes });
    return pino(
        {
            level,
            base,
            messageKey: "event",
            formatters: { level: label => ({ level: label }) },
            timestamp: pino.stdTimeFunctions.isoTime,
        },
        {
            write: line => destination.write(formatLogLine(line)),
            flush: (done: () => void) => destination.flush(done),
        } as pino.DestinationStream,
    );
};
