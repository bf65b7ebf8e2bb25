import { type Checked } from "../../types";

/** Parses JSON text into a value, or into the fault that the parser reports. */
export const parseJson = (text: string): Checked<unknown> => {
    try {
        return { ok: true, value: JSON.parse(text) };
    }
    catch (error) {
        return { ok: false, faults: [{ path: "$", message: `not valid JSON: ${(error as Error).message}` }] };
    }
};
