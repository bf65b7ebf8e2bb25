import { computeNestedRank } from "./index";

describe("computeNestedRank", () => {
    it("begins with the rank of the parent", () => {
        expect(computeNestedRank(2, 0)).toBe(2);
    });

    // Guards against trees of nested requests that all advance alike and all miss their deadlines.
    it("prefers the requests of nearly complete trees", () => {
        const ranks = [0, 1, 2, 3, 4].map(siblings => computeNestedRank(2, siblings));
        expect(ranks).toEqual([...ranks].sort((first, second) => second - first));
        expect(new Set(ranks).size).toBe(ranks.length);
    });

    it("never passes the most important rank", () => {
        expect(computeNestedRank(0, 0)).toBe(0);
        expect(computeNestedRank(1, 1_000)).toBeGreaterThan(computeNestedRank(0, 0));
    });
});
