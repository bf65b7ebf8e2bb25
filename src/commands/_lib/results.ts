import { type Fault } from "../../types";
import { type CommandResult, exitFailure, exitSuccess, exitUsageError } from "../types";

/** Creates the result of a command that succeeded. */
export const createSuccess = (output: string): CommandResult => ({ code: exitSuccess, output, errors: "" });

/** Creates the result of a command whose input has faults: one line each with file and path, or one JSON object. */
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

/** Creates the result of a command with wrong arguments, or whose requested data is not available. */
export const createUsageError = (message: string): CommandResult => ({
    code: exitUsageError,
    output: "",
    errors: `${message}\n`,
});

/** Formats a value as indented JSON with a final newline. */
export const formatJson = (value: unknown): string => `${JSON.stringify(value, undefined, 4)}\n`;
