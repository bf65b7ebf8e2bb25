import { computeRetryAfterMs } from "./index";

describe("computeRetryAfterMs", () => {
    it("grows as the admission probability falls, up to half of the target latency", () => {
        expect(computeRetryAfterMs(0.9, 2_000, 0.5)).toBeLessThan(computeRetryAfterMs(0.2, 2_000, 0.5));
        expect(computeRetryAfterMs(0, 2_000, 0.5)).toBe(1_000);
    });

    it("spreads callers over an interval as long as the mean delay", () => {
        expect(computeRetryAfterMs(0, 2_000, 0)).toBe(500);
        expect(computeRetryAfterMs(0, 2_000, 0.999)).toBeGreaterThan(1_490);
    });
});
