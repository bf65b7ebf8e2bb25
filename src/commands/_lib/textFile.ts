import { readFileSync, renameSync, writeFileSync } from "node:fs";
import { type Checked } from "../../types";

/** Reads a text file; returns a fault if the file can't be read. */
export const readTextFile = (file: string): Checked<string> => {
    try {
        return { ok: true, value: readFileSync(file, "utf8") };
    }
    catch (error) {
        return { ok: false, faults: [{ path: "$", message: `can't be read: ${(error as Error).message}` }] };
    }
};

/** Writes a text file under a temporary name and renames it, so that an interrupted write leaves the old content. */
export const writeTextFile = (file: string, text: string): void => {
    const temporaryFile = `${file}.${process.pid}.tmp`;
    writeFileSync(temporaryFile, text);
    renameSync(temporaryFile, file);
};
