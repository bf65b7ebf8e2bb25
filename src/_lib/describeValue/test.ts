import fc from "fast-check";
import { parseJson } from "../parseJson";
import { describeValue } from "./index";

const formatExpected = (text: string): string => text.length > 60 ? `${text.slice(0, 60)}...` : text;

describe("describeValue", () => {
    it("gives the beginning of the JSON text", () => {
        fc.assert(
            fc.property(fc.jsonValue(), value => {
                expect(describeValue(value)).toBe(formatExpected(JSON.stringify(value)));
            }),
            { numRuns: 2_000, seed: 39 },
        );
    });

    it("names a missing value", () => {
        expect(describeValue(undefined)).toBe("nothing");
    });

    // Guards against faults whose description throws, as that of a deeply nested entry did.
    it.each(["[", '{"a":'])("describes 200,000 levels of %s", open => {
        const close = open === "[" ? "]" : "}";
        const parsed = parseJson(`${open.repeat(200_000)}1${close.repeat(200_000)}`);
        expect(parsed.ok && describeValue(parsed.value)).toMatch(/^[[{].{59}\.\.\.$/u);
    });
});
