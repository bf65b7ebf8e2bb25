import { readFileSync, renameSync, writeFileSync } from "node:fs";
import { type Checked } from "../../types";

/** Reads a text file; a file that can't be read is a fault. */
export const readTextFile = (file: string): Checked<string> => {
    try {
        return { ok: true, value: readFileSync(file, "utf8") };
    }
    catch (error) {
        return { ok: false, faults: [{ path: "$", message: `can't be read: ${(error as Error).message}` }] };
    }
};

/** Writes a text file in one step, so that a break-off leaves the old content whole. */
export const writeTextFile = (file: string, text: string): void => {
    const temporary = `${file}.${process.pid}.tmp`;
    writeFileSync(temporary, text);
    renameSync(temporary, file);
};
