import logfmt from "logfmt";
import { readTextFile } from "../_lib/textFile";
import { createSuccess, createFailure, createUsageError } from "../_lib/results";
import { type CommandResult } from "../types";

const standardInput = "/dev/stdin";
/** Stands between the id of a request and what is appended to it for its calls. */
const callSeparator = ".";

interface Line {
    readonly time: string;
    readonly text: string;
}

/** Whether a line is about a request, about one of its calls, or about a request that it was a call of. */
const isRelated = (request: string, asked: string): boolean =>
    request === asked || request.startsWith(asked + callSeparator) || asked.startsWith(request + callSeparator);

const findLines = (text: string, asked: string): readonly Line[] =>
    text.split("\n")
        .filter(line => line.includes("request="))
        .map(line => ({ line, fields: logfmt.parse(line) as Readonly<Record<string, unknown>> }))
        .filter(({ fields }) => isRelated(String(fields["request"]), asked))
        .map(({ line, fields }) => ({ time: String(fields["time"]), text: line.slice(line.indexOf("level=")) }));

/** Prints what the logs of all nodes say of a request and its calls, in the order of time. */
export const runExplain = (asked: string, files: readonly string[]): CommandResult => {
    const lines: Line[] = [];
    for (const file of files.length === 0 ? [standardInput] : files) {
        const text = readTextFile(file);
        if (!text.ok) {
            return createFailure(file, text.faults);
        }
        lines.push(...findLines(text.value, asked));
    }
    if (lines.length === 0) {
        return createUsageError(`no line about ${asked}; served requests leave none, and overload leaves some out`);
    }
    lines.sort((first, second) => first.time < second.time ? -1 : 1);
    return createSuccess(`${lines.map(({ text }) => text).join("\n")}\n`);
};
