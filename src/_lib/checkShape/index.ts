import { type z } from "zod";
import { type Checked, type Fault } from "../../types";

/** Formats the path of a value within a document as JSONPath. */
const formatPath = (path: readonly PropertyKey[]): string =>
    path.reduce<string>((text, key) => typeof key === "number" ? `${text}[${key}]` : `${text}.${String(key)}`, "$");

/** Returns the value at a path, or undefined if there is none. */
const getValueAt = (input: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (value, key) => typeof value === "object" && value ? (value as Record<PropertyKey, unknown>)[key] : undefined,
        input,
    );

const maxValueCharacters = 60;

/** Describes a value for a message: its JSON text, truncated to `maxValueCharacters`, or "nothing" if undefined. */
const describeValue = (value: unknown): string => {
    if (value === undefined) {
        return "nothing";
    }
    const text = JSON.stringify(value) ?? String(value);
    return text.length > maxValueCharacters ? `${text.slice(0, maxValueCharacters)}...` : text;
};

/** How faults are described. */
export interface CheckOptions {
    /** Whether the input holds secrets, so that no fault may show a value of it. */
    readonly isSecret?: boolean;
}

const createFault = (input: unknown, issue: z.core.$ZodIssue, isSecret: boolean): Fault => ({
    path: formatPath(issue.path),
    message: issue.code === "unrecognized_keys"
        ? `unknown ${issue.keys.length === 1 ? "key" : "keys"} ${issue.keys.map(key => `"${key}"`).join(", ")}`
        : isSecret
        ? issue.message
        : `${issue.message}; found ${describeValue(getValueAt(input, issue.path))}`,
});

/** Checks a value against a schema; returns the parsed value with defaults applied, or all faults. */
export const checkShape = <Schema extends z.ZodType>(
    schema: Schema,
    input: unknown,
    { isSecret = false }: CheckOptions = {},
): Checked<z.output<Schema>> => {
    const result = schema.safeParse(input);
    if (result.success) {
        return { ok: true, value: result.data };
    }
    return { ok: false, faults: result.error.issues.map(issue => createFault(input, issue, isSecret)) };
};
