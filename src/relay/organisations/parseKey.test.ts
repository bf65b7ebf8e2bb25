import { parseKey } from "./parseKey";

const names = { authorization: "authorization", keyScheme: "token" };

describe("parseKey", () => {
    it.each([
        ["a key", ["Host", "a", "Authorization", "Token abc"], { kind: "key", key: "abc" }],
        ["names in another case", ["AUTHORIZATION", "token abc "], { kind: "key", key: "abc" }],
        ["no header", ["Host", "Authorization"], { kind: "none" }],
        ["two headers", ["Authorization", "Token abc", "authorization", "Token abc"], { kind: "malformed" }],
        ["another scheme", ["Authorization", "Basic abc"], { kind: "malformed" }],
        ["no scheme", ["Authorization", "abc"], { kind: "malformed" }],
        ["an empty value", ["Authorization", ""], { kind: "malformed" }],
        ["an empty key", ["Authorization", "Token "], { kind: "malformed" }],
        ["a key with a space", ["Authorization", "Token abc def"], { kind: "malformed" }],
        ["a very long key", ["Authorization", `Token ${"a".repeat(10_000)}`], { kind: "malformed" }],
        ["a key of other characters", ["Authorization", "Token ab\u00e7"], { kind: "malformed" }],
    ])("recognizes %s", (unused, rawHeaders, expected) => {
        expect(parseKey(rawHeaders, names)).toEqual(expected);
    });
});
