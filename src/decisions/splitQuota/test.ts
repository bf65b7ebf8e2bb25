import { splitQuota, tokenTtlMs } from ".";

const bounds = { windowMs: 5_000, overshoot: 0.25, slack: 20 };
const quotas = [
    { ratePerSecond: 0.5, burst: 0 },
    { ratePerSecond: 1.6, burst: 2 },
    { ratePerSecond: 16, burst: 16 },
    { ratePerSecond: 132, burst: 132 },
    { ratePerSecond: 5_000, burst: 0 },
];

describe("splitQuota", () => {
    it("keeps within the bound in any window, also after a restart of all nodes", () => {
        for (const quota of quotas) {
            const { ratePerMs, burst, initial } = splitQuota(quota, bounds);
            const most = ratePerMs * (bounds.windowMs + tokenTtlMs) + burst + initial;
            expect(most).toBeLessThanOrEqual((quota.ratePerSecond * 5 + quota.burst) * 1.25 + 20);
            expect([ratePerMs, burst, initial].every(value => value >= 0)).toBe(true);
        }
    });

    it("lets in at least the rate of the limit, and more for a small organisation", () => {
        quotas.forEach(quota => {
            const { ratePerMs } = splitQuota(quota, bounds);
            expect(ratePerMs * 1_000).toBeGreaterThanOrEqual(quota.ratePerSecond * 0.999);
        });
        expect(splitQuota({ ratePerSecond: 1.6, burst: 2 }, bounds).ratePerMs * 1_000).toBeGreaterThan(2.7);
    });
});
