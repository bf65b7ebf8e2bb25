import { existsSync, readFileSync, writeFileSync } from "node:fs";

const updateVariable = "POMELOVALVE_UPDATE_GOLDEN";

/**
 * Expects a text to equal a committed golden file; a missing file fails.
 * POMELOVALVE_UPDATE_GOLDEN=1 writes the text to the file first; CI never sets it.
 */
export const compareGolden = (file: string, text: string): void => {
    if (process.env[updateVariable] === "1") {
        writeFileSync(file, text);
    }
    expect(existsSync(file) ? readFileSync(file, "utf8") : "no golden file").toBe(text);
};
