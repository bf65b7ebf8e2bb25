import { computeRetryBudgetShare, RetryBudget, type RetryBudgetOptions } from "./index";

const allowance: RetryBudgetOptions = { ratio: 0.2, slack: 47, windowMs: 10_000 };

interface Figures {
    readonly retries: number;
    readonly requests: number;
}

const countMost = (times: readonly number[]): number => {
    let most = 0;
    for (let startMs = 0; startMs < 30_000; startMs += 100) {
        most = Math.max(most, times.filter(atMs => atMs >= startMs && atMs < startMs + 10_000).length);
    }
    return most;
};

/** Plays nodes that repeat as often as they may; returns the most repeats in any window, and the requests in it. */
const runNodes = (nodes: number, requestsPerSecond: number): Figures => {
    const part = computeRetryBudgetShare(allowance, nodes, { nestedCalls: 0, directShare: 1 });
    const budgets = Array.from({ length: nodes }, () => new RetryBudget(part, 0));
    const retryTimes: number[] = [];
    for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
        budgets.forEach(budget => {
            if (nowMs % (1_000 / requestsPerSecond) < 10) {
                budget.recordRequest(nowMs);
            }
            while (budget.tryConsume(nowMs)) {
                retryTimes.push(nowMs);
            }
        });
    }
    return { retries: countMost(retryTimes), requests: nodes * requestsPerSecond * 10 };
};

/** Plays a chain in which each request makes one call and everything is repeated as often as it may. */
const runChain = (levels: number, requestsPerSecond: number): Figures => {
    const budgets = Array.from(
        { length: levels },
        (unused, level) =>
            new RetryBudget(
                computeRetryBudgetShare(allowance, 1, { nestedCalls: levels - 1 - level, directShare: 1 }),
                0,
            ),
    );
    const deepest: number[] = [];
    const send = (level: number, nowMs: number, isRetry: boolean): void => {
        const budget = budgets[level]!;
        if (isRetry) {
            budget.recordNestedRetry(nowMs);
        }
        else {
            budget.recordRequest(nowMs);
        }
        const sendings = budget.tryConsume(nowMs) ? [isRetry, true] : [isRetry];
        sendings.forEach(retried => {
            if (level + 1 < levels) {
                send(level + 1, nowMs, retried);
            }
            else if (retried) {
                deepest.push(nowMs);
            }
        });
    };
    for (let nowMs = 0; nowMs < 40_000; nowMs += 1_000 / requestsPerSecond) {
        send(0, nowMs, false);
    }
    return { retries: countMost(deepest), requests: requestsPerSecond * 10 };
};

describe("RetryBudget when every request fails", () => {
    it.each([1, 12, 86])("keeps %i nodes together within the allowance in every window", nodes => {
        const { retries, requests } = runNodes(nodes, 20);
        expect(retries).toBeLessThanOrEqual(allowance.ratio * requests + allowance.slack);
        expect(retries).toBeGreaterThan(0.05 * requests);
    });

    it("keeps idle nodes within the slack", () => {
        const { retries } = runNodes(12, 0.1);
        expect(retries).toBeLessThanOrEqual(allowance.slack + 0.2 * 12);
    });

    it("lets the few requests of callers at a deep service be repeated each", () => {
        expect(computeRetryBudgetShare(allowance, 12, { nestedCalls: 0, directShare: 0.02 }).ratio).toBe(1);
        expect(computeRetryBudgetShare(allowance, 12, { nestedCalls: 0, directShare: 0.5 }).ratio).toBeCloseTo(0.12);
        expect(computeRetryBudgetShare(allowance, 12, { nestedCalls: 4, directShare: 0.02 }).ratio).toBeCloseTo(0.04);
    });

    it.each([2, 4, 9])("keeps the deepest of %i services within the allowance", levels => {
        const { retries, requests } = runChain(levels, 50);
        expect(retries).toBeLessThanOrEqual(allowance.ratio * requests + allowance.slack);
    });
});
