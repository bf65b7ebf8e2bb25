import { computeCongestion } from "./index";

describe("computeCongestion", () => {
    it("follows the share of the target latency that is spent waiting", () => {
        expect(computeCongestion(0, 300)).toBe(0);
        expect(computeCongestion(75, 300)).toBeCloseTo(0);
        expect(computeCongestion(135, 300)).toBeCloseTo(0.5);
        expect(computeCongestion(500, 300)).toBe(1);
    });
});
