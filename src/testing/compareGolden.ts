import { existsSync, readFileSync, writeFileSync } from "node:fs";

const updateVariable = "POMELOVALVE_UPDATE_GOLDEN";

/**
 * Compares text with a committed golden file.
 * With POMELOVALVE_UPDATE_GOLDEN=1 the file is written instead; CI never sets it, and a missing file fails.
 */
export const compareGolden = (file: string, text: string): void => {
    if (process.env[updateVariable] === "1") {
        writeFileSync(file, text);
    }
    expect(existsSync(file) ? readFileSync(file, "utf8") : "no golden file").toBe(text);
};
