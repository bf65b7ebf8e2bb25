import { isMissing } from "./index";

describe("isMissing", () => {
    it("holds for undefined and for the null of JSON, and for no other value", () => {
        expect([undefined, JSON.parse("null")].map(isMissing)).toEqual([true, true]);
        expect(["", 0, false, {}, []].some(isMissing)).toBe(false);
    });
});
