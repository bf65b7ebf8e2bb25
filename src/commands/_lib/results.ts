import { type Fault } from "../../types";
import { type CommandResult, exitFailure, exitSuccess, exitUsageError } from "../types";

/** Creates the result of a command that succeeded. */
export const createSuccess = (output: string): CommandResult => ({ code: exitSuccess, output, errors: "" });

/** Creates the result of a command whose input has faults: a line for each on standard error, or a JSON object. */
export const createFailure = (file: string, faults: readonly Fault[], json = false): CommandResult => {
    if (json) {
        return {
            code: exitFailure,
            output: `${JSON.stringify({ ok: false, file, faults }, undefined, 4)}\n`,
            errors: "",
        };
    }
    const lines = faults.map(fault => `${file}: ${fault.path}: ${fault.message}\n`);
    return { code: exitFailure, output: "", errors: lines.join("") };
};

/** Creates the result of a command that has wrong arguments or cannot obtain the requested data. */
export const createUsageError = (message: string): CommandResult => ({
    code: exitUsageError,
    output: "",
    errors: `${message}\n`,
});

/** Formats a value as indented JSON with a trailing newline. */
export const formatJson = (value: unknown): string => `${JSON.stringify(value, undefined, 4)}\n`;
