import logfmt from "logfmt";
import pino, { type Logger } from "pino";

/** Formats one JSON line of the logger as key=value pairs. */
export const formatLogLine = (jsonLine: string): string => {
    const fields = JSON.parse(jsonLine) as Record<string, unknown>;
    const flat = Object.entries(fields).map(([key, value]) => [
        key,
        typeof value === "string" ? value.replaceAll("\n", "\\n") : value,
    ]);
    return `${logfmt.stringify(Object.fromEntries(flat))}\n`;
};

/** Bytes of log lines that wait at most for a reader of standard output; later lines are dropped. */
const maxWaitingBytes = 1024 * 1024;
const standardOutput = 1;

/**
 * Creates a logger that writes one line of key=value pairs for each event to standard output. Lines are written in the
 * background: a reader that stands still costs lines, never time.
 */
export const createLogger = (level: string, base: Readonly<Record<string, string>>): Logger => {
    const destination = pino.destination({ dest: standardOutput, sync: false, maxLength: maxWaitingBytes });
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
