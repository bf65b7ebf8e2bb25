/** Longest description, in characters. */
const maxCharacters = 60;

const describeItems = (
    [open, close]: readonly [string, string],
    parts: readonly ((maxLength: number) => string)[],
    maxLength: number,
): string => {
    let text = open;
    for (const describePart of parts) {
        if (text.length > maxLength) {
            return text;
        }
        text += `${text === open ? "" : ","}${describePart(maxLength - text.length)}`;
    }
    return text + close;
};

/** Describes a value by at least `maxLength` characters of its JSON text, or all of it. Each level takes a character. */
const describeWithin = (value: unknown, maxLength: number): string => {
    if (typeof value === "string") {
        return JSON.stringify(value.slice(0, maxLength + 1));
    }
    if (typeof value !== "object" || !value) {
        return JSON.stringify(value) ?? String(value);
    }
    // Each part takes a character at least, so that further ones wouldn't be shown.
    const maxParts = maxLength + 1;
    if (Array.isArray(value)) {
        const describeItem = (item: unknown) => (length: number): string => describeWithin(item, length);
        return describeItems(["[", "]"], value.slice(0, maxParts).map(describeItem), maxLength);
    }
    const describeField = ([name, field]: readonly [string, unknown]) => (length: number): string =>
        `${describeWithin(name, length)}:${describeWithin(field, Math.max(0, length - name.length))}`;
    return describeItems(["{", "}"], Object.entries(value).slice(0, maxParts).map(describeField), maxLength);
};

/**
 * Describes a parsed JSON value for a message: the beginning of its JSON text, or "nothing" if undefined. Unlike
 * JSON.stringify, it neither fails on values that are nested deeply nor writes out long ones.
 */
export const describeValue = (value: unknown): string => {
    if (value === undefined) {
        return "nothing";
    }
    const text = describeWithin(value, maxCharacters);
    return text.length > maxCharacters ? `${text.slice(0, maxCharacters)}...` : text;
};
