import { comparePositions } from "./index";

describe("comparePositions", () => {
    it("compares revisions within an era, and only eras otherwise", () => {
        expect(comparePositions({ era: 1, revision: 5 }, { era: 1, revision: 7 })).toBeLessThan(0);
        expect(comparePositions({ era: 1, revision: 7 }, { era: 1, revision: 7 })).toBe(0);
        expect(comparePositions({ era: 2, revision: 1 }, { era: 1, revision: 900 })).toBeGreaterThan(0);
    });
});
