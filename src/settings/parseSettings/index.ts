import { checkShape } from "../../_lib/checkShape";
import { parseJson } from "../../_lib/parseJson";
import { type Checked } from "../../types";
import { settingsSchema } from "../schema";
import { type Settings } from "../types";

/** Parses the text of a settings file; returns the settings with defaults applied, or all faults. */
export const parseSettings = (text: string): Checked<Settings> => {
    const parsed = parseJson(text);
    return parsed.ok ? checkShape(settingsSchema, parsed.value) : parsed;
};
