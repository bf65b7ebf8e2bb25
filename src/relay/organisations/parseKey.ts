/** What the Authorization header of a request holds. */
export type ParsedKey =
    | { readonly kind: "none"; }
    | { readonly kind: "key"; readonly key: string; }
    /** Several headers, another scheme, or a key in no known form. */
    | { readonly kind: "malformed"; };

/** Names by which the header and its scheme are recognized, in lower case. */
export interface KeyNames {
    readonly authorization: string;
    readonly keyScheme: string;
}

/** Longest key that is looked up, in characters. */
const maxKeyCharacters = 512;
const keyPattern = /^[!-~]+$/u;

/** Parses the key of a request from its headers, a flat list of names and values. */
export const parseKey = (rawHeaders: readonly string[], { authorization, keyScheme }: KeyNames): ParsedKey => {
    const values = rawHeaders.filter((unused, index) =>
        index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === authorization
    );
    const [value] = values;
    if (value === undefined) {
        return { kind: "none" };
    }
    const separatorIndex = value.indexOf(" ");
    const key = value.slice(separatorIndex + 1).trim();
    const isValid = values.length === 1 && value.slice(0, separatorIndex).toLowerCase() === keyScheme
        && key.length <= maxKeyCharacters && keyPattern.test(key);
    return isValid ? { kind: "key", key } : { kind: "malformed" };
};
