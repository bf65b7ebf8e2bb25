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
    it("keeps all domains together within the bound in any window, also after a restart of all nodes", () => {
        for (const quota of quotas) {
            for (const domains of [1, 3, 6]) {
                const { ratePerMs, burst, initial } = splitQuota(quota, domains, bounds);
                const most = domains * (ratePerMs * (bounds.windowMs + tokenTtlMs) + burst + initial);
                const bound = (quota.ratePerSecond * 5 + quota.burst) * 1.25 + 20;
                expect(most).toBeLessThanOrEqual(bound);
                expect([ratePerMs, burst, initial].every(value => value >= 0)).toBe(true);
            }
        }
    });

    it("lets in at least the rate of the limit, and of a small organisation all in one domain", () => {
        quotas.forEach(quota => {
            const { ratePerMs } = splitQuota(quota, 3, bounds);
            expect(ratePerMs * 3 * 1_000).toBeGreaterThanOrEqual(quota.ratePerSecond * 0.999);
        });
        expect(splitQuota({ ratePerSecond: 1.6, burst: 2 }, 3, bounds).ratePerMs * 1_000).toBeGreaterThan(0.9);
    });
});
