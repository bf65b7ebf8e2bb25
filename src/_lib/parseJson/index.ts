import { type Checked } from "../../types";

/** Parses JSON text; returns the value, or the parser's error as a fault. */
export const parseJson = (text: string): Checked<unknown> => {
    try {
        return { ok: true, value: JSON.parse(text) };
    }
    catch (error) {
        return { ok: false, faults: [{ path: "$", message: `not valid JSON: ${(error as Error).message}` }] };
    }
};
