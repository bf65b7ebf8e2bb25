import { type z } from "zod";
import { type Checked, type Fault } from "../../types";

/** Formats a path into a document in the manner of JSONPath. */
const formatPath = (path: readonly PropertyKey[]): string =>
    path.reduce<string>((text, key) => typeof key === "number" ? `${text}[${key}]` : `${text}.${String(key)}`, "$");

/** Returns the value at a path, or undefined. */
const readAt = (input: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (value, key) => typeof value === "object" && value ? (value as Record<PropertyKey, unknown>)[key] : undefined,
        input,
    );

const maxShownCharacters = 60;

/** Describes a found value briefly. */
const describeFound = (value: unknown): string => {
    if (value === undefined) {
        return "nothing";
    }
    const text = JSON.stringify(value) ?? String(value);
    return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}...` : text;
};

const createFault = (input: unknown, issue: z.core.$ZodIssue): Fault => ({
    path: formatPath(issue.path),
    message: issue.code === "unrecognized_keys"
        ? `unknown ${issue.keys.length === 1 ? "key" : "keys"} ${issue.keys.map(key => `"${key}"`).join(", ")}`
        : `${issue.message}; found ${describeFound(readAt(input, issue.path))}`,
});

/** Checks a value against a schema; all faults are listed at once. */
export const checkShape = <Schema extends z.ZodType>(schema: Schema, input: unknown): Checked<z.output<Schema>> => {
    const result = schema.safeParse(input);
    if (result.success) {
        return { ok: true, value: result.data };
    }
    return { ok: false, faults: result.error.issues.map(issue => createFault(input, issue)) };
};
