import { computeRetryAfterMs } from "./index";

describe("computeReturnDelay for a herd of refused callers", () => {
    it("asks them to return later the less is let in, within half of the target latency", () => {
        expect(computeRetryAfterMs(0.9, 2_000, 0.5)).toBeLessThan(computeRetryAfterMs(0.2, 2_000, 0.5));
        expect(computeRetryAfterMs(0, 2_000, 0.5)).toBe(1_000);
    });

    it("spreads them over a time as long as the delay", () => {
        expect(computeRetryAfterMs(0, 2_000, 0)).toBe(500);
        expect(computeRetryAfterMs(0, 2_000, 0.999)).toBeGreaterThan(1_490);
    });
});
