import { z } from "zod";
import { policyLogSchema, policySchema } from "../../policy/schema";
import { parseSettings } from "../../settings/parseSettings";
import { settingsSchema } from "../../settings/schema";
import { createFailure, createSuccess, createUsageError, formatJson } from "../_lib/results";
import { readTextFile } from "../_lib/textFile";
import { type CommandResult } from "../types";

const schemas = { settings: settingsSchema, policy: policySchema, "policy-log": policyLogSchema } as const;

/** Checks a settings file; the JSON output includes the settings with defaults applied. */
export const checkSettingsFile = (file: string, json: boolean): CommandResult => {
    const text = readTextFile(file);
    const checked = text.ok ? parseSettings(text.value) : text;
    if (!checked.ok) {
        return createFailure(file, checked.faults, json);
    }
    return createSuccess(json ? formatJson({ ok: true, settings: checked.value }) : `${file}: settings are valid\n`);
};

/** Renders the JSON Schema of a kind of document: "settings", "policy" or "policy-log". */
export const renderSchema = (kind: string): CommandResult => {
    if (!Object.hasOwn(schemas, kind)) {
        return createUsageError(`unknown document "${kind}"; expected one of ${Object.keys(schemas).join(", ")}`);
    }
    return createSuccess(formatJson(z.toJSONSchema(schemas[kind as keyof typeof schemas], { io: "input" })));
};
