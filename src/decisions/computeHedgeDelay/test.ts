import { computeHedgeDelay, type DurationEstimate, updateDurationEstimate } from "./index";

const createMean = (readings: readonly number[]): DurationEstimate =>
    readings.reduce<DurationEstimate | undefined>((mean, reading) => updateDurationEstimate(mean, reading), undefined)!;

describe("computeHedgeDelay for answers that are lost", () => {
    it("waits well beyond the usual time", () => {
        const mean = createMean(Array.from({ length: 40 }, (unused, index) => index % 2 === 0 ? 180 : 220));
        expect(computeHedgeDelay(mean)).toBeGreaterThan(280);
        expect(computeHedgeDelay(mean)).toBeLessThan(400);
    });

    it("knows nothing from a few readings, and never sends twice at once", () => {
        expect(computeHedgeDelay(createMean([10, 10]))).toBeUndefined();
        expect(computeHedgeDelay(createMean(Array.from({ length: 40 }, () => 5)))).toBe(100);
    });
});
