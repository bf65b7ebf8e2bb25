import { computeCongestion } from "./index";

describe("computeCongestion", () => {
    it("grows with the wait as a share of the target latency", () => {
        expect(computeCongestion(0, 300)).toBe(0);
        expect(computeCongestion(75, 300)).toBeCloseTo(0);
        expect(computeCongestion(135, 300)).toBeCloseTo(0.5);
        expect(computeCongestion(500, 300)).toBe(1);
    });
});
