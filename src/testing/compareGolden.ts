import { existsSync, readFileSync, writeFileSync } from "node:fs";

const updateVariable = "POMELOVALVE_UPDATE_GOLDEN";

/**
 * Expects a text to equal a committed golden file; fails if the file is missing.
 * POMELOVALVE_UPDATE_GOLDEN=1 overwrites the file with the text first; CI never sets this variable.
 */
export const compareGolden = (file: string, text: string): void => {
    if (process.env[updateVariable] === "1") {
        writeFileSync(file, text);
    }
    expect(existsSync(file) ? readFileSync(file, "utf8") : "no golden file").toBe(text);
};
