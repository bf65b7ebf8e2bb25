import { isOutdatedRecord } from "./index";

describe("isOutdatedRecord", () => {
    it("compares incarnations first, then the writes of one incarnation", () => {
        const known = { bornAtMs: 100, sequence: 5 };
        expect(isOutdatedRecord({ bornAtMs: 99, sequence: 50 }, known)).toBe(true);
        expect(isOutdatedRecord({ bornAtMs: 100, sequence: 4 }, known)).toBe(true);
        expect(isOutdatedRecord({ bornAtMs: 100, sequence: 5 }, known)).toBe(false);
        expect(isOutdatedRecord({ bornAtMs: 101, sequence: 0 }, known)).toBe(false);
    });
});
