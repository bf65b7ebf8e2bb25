import logfmt from "logfmt";
import { createFailure, createSuccess, createUsageError } from "../_lib/results";
import { readTextFile } from "../_lib/textFile";
import { type CommandResult } from "../types";

const standardInput = "/dev/stdin";
/** Separates the id of a request from the suffix for one of its nested calls. */
const nestedCallSeparator = ".";

interface LogLine {
    readonly time: string;
    readonly text: string;
}

/** Returns whether a logged request is the queried one, one of its nested calls or one of its parent requests. */
const isRelated = (loggedId: string, queriedId: string): boolean =>
    loggedId === queriedId || loggedId.startsWith(queriedId + nestedCallSeparator)
    || queriedId.startsWith(loggedId + nestedCallSeparator);

const findRelatedLines = (text: string, queriedId: string): readonly LogLine[] =>
    text.split("\n")
        .filter(line => line.includes("request="))
        .map(line => ({ line, fields: logfmt.parse(line) as Readonly<Record<string, unknown>> }))
        .filter(({ fields }) => isRelated(String(fields["request"]), queriedId))
        .map(({ line, fields }) => ({ time: String(fields["time"]), text: line.slice(line.indexOf("level=")) }));

/**
 * Lists the log lines of a request, its nested calls and its parent requests from the logs of several nodes, in time
 * order. Reads standard input if no files are given.
 */
export const runExplain = (queriedId: string, files: readonly string[]): CommandResult => {
    const lines: LogLine[] = [];
    for (const file of files.length === 0 ? [standardInput] : files) {
        const text = readTextFile(file);
        if (!text.ok) {
            return createFailure(file, text.faults);
        }
        lines.push(...findRelatedLines(text.value, queriedId));
    }
    if (lines.length === 0) {
        return createUsageError(
            `no log line about request ${queriedId}; completed requests are not logged, overloaded nodes omit lines`,
        );
    }
    lines.sort((first, second) => first.time < second.time ? -1 : 1);
    return createSuccess(`${lines.map(({ text }) => text).join("\n")}\n`);
};
