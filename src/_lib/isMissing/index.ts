/** Whether a value from outside is absent: undefined, or the null of JSON and MessagePack. */
export const isMissing = (value: unknown): value is undefined =>
    value === undefined || typeof value === "object" && !value;
