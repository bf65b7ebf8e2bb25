import { type z } from "zod";
import { type Checked, type Fault } from "../../types";
import { describeValue } from "../describeValue";

/** Formats the path of a value within a document as JSONPath. */
const formatPath = (path: readonly PropertyKey[]): string =>
    path.reduce<string>((text, key) => typeof key === "number" ? `${text}[${key}]` : `${text}.${String(key)}`, "$");

/** Returns the value at a path, or undefined if there is none. */
const getValueAt = (input: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (value, key) => typeof value === "object" && value ? (value as Record<PropertyKey, unknown>)[key] : undefined,
        input,
    );

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

/** Number of faults that are described; a long list may have one in each of its items. */
const maxFaults = 100;

/**
 * Checks a value against a schema; returns the parsed value with defaults applied, or its first faults. A value that is
 * nested more deeply than the schema can follow has a fault too.
 */
export const checkShape = <Schema extends z.ZodType>(
    schema: Schema,
    input: unknown,
    { isSecret = false }: CheckOptions = {},
): Checked<z.output<Schema>> => {
    try {
        const result = schema.safeParse(input);
        return result.success ? { ok: true, value: result.data } : {
            ok: false,
            faults: result.error.issues.slice(0, maxFaults).map(issue => createFault(input, issue, isSecret)),
        };
    }
    catch (error) {
        return { ok: false, faults: [{ path: "$", message: `can't be checked: ${(error as Error).message}` }] };
    }
};
