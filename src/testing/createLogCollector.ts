import pino, { type Logger } from "pino";

/** Creates a logger, and the list of the lines that it writes. */
export const createLogCollector = (): {
    readonly logger: Logger;
    readonly lines: readonly Record<string, unknown>[];
} => {
    const lines: Record<string, unknown>[] = [];
    const logger = pino({}, { write: (text: string) => lines.push(JSON.parse(text) as Record<string, unknown>) });
    return { logger, lines };
};
