import { computeHedgeDelay, type DurationEstimate, updateDurationEstimate } from "./index";

const createEstimate = (samples: readonly number[]): DurationEstimate =>
    samples.reduce<DurationEstimate | undefined>(
        (estimate, sample) => updateDurationEstimate(estimate, sample),
        undefined,
    )!;

describe("computeHedgeDelay", () => {
    it("is well above the usual answer time", () => {
        const estimate = createEstimate(Array.from({ length: 40 }, (unused, index) => index % 2 === 0 ? 180 : 220));
        expect(computeHedgeDelay(estimate)).toBeGreaterThan(280);
        expect(computeHedgeDelay(estimate)).toBeLessThan(400);
    });

    it("is undefined with few samples, and never below the minimum", () => {
        expect(computeHedgeDelay(createEstimate([10, 10]))).toBeUndefined();
        expect(computeHedgeDelay(createEstimate(Array.from({ length: 40 }, () => 5)))).toBe(100);
    });
});
