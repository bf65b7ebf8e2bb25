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

/** Creates a logger that writes one line of key=value pairs for each event to standard output. */
export const createLogger = (level: string, base: Readonly<Record<string, string>>): Logger =>
    pino(
        {
            level,
            base,
            messageKey: "event",
            formatters: { level: label => ({ level: label }) },
            timestamp: pino.stdTimeFunctions.isoTime,
        },
        { write: line => process.stdout.write(formatLogLine(line)) },
    );
