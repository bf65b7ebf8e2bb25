import { type Fault } from "../../types";
import { type CommandResult, exitSuccess, exitFailure, exitUsageError } from "../types";

/** Creates the result of a command that has done its work. */
export const createSuccess = (output: string): CommandResult => ({ code: exitSuccess, output, errors: "" });

/** Creates the result of a command whose input has faults: one line each, with file and path. */
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

/** Creates the result of a command that was called wrongly. */
export const createUsageError = (message: string): CommandResult => ({
    code: exitUsageError,
    output: "",
    errors: `${message}\n`,
});

/** Formats a value as indented JSON with a line end. */
export const formatJson = (value: unknown): string => `${JSON.stringify(value, undefined, 4)}\n`;
