import { computeRetryBudgetShare, RetryBudget, type RetryBudgetOptions } from "./index";

const options: RetryBudgetOptions = { ratio: 0.2, slack: 47, windowMs: 10_000 };

interface RetryStats {
    readonly retries: number;
    readonly requests: number;
}

/** Returns the largest number of retries in any window of 10 s; `timesMs` are the times of the retries. */
const countMaxPerWindow = (timesMs: readonly number[]): number => {
    let max = 0;
    for (let startMs = 0; startMs < 30_000; startMs += 100) {
        max = Math.max(max, timesMs.filter(atMs => atMs >= startMs && atMs < startMs + 10_000).length);
    }
    return max;
};

/** Simulates nodes that retry as often as they may; returns the most retries and the mean requests in a window. */
const runNodes = (nodes: number, requestsPerSecond: number): RetryStats => {
    const share = computeRetryBudgetShare(options, nodes, { nestedCalls: 0, directShare: 1 });
    const budgets = Array.from({ length: nodes }, () => new RetryBudget(share, 0));
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
    return { retries: countMaxPerWindow(retryTimes), requests: nodes * requestsPerSecond * 10 };
};

/** Simulates a chain of services in which each request makes one nested call and is retried as often as it may be. */
const runChain = (depth: number, requestsPerSecond: number): RetryStats => {
    const budgets = Array.from(
        { length: depth },
        (unused, level) =>
            new RetryBudget(
                computeRetryBudgetShare(options, 1, { nestedCalls: depth - 1 - level, directShare: 1 }),
                0,
            ),
    );
    const deepestRetryTimes: number[] = [];
    const send = (level: number, nowMs: number, isRetry: boolean): void => {
        const budget = budgets[level]!;
        if (isRetry) {
            budget.recordNestedRetry(nowMs);
        }
        else {
            budget.recordRequest(nowMs);
        }
        const attempts = budget.tryConsume(nowMs) ? [isRetry, true] : [isRetry];
        attempts.forEach(isRetryAttempt => {
            if (level + 1 < depth) {
                send(level + 1, nowMs, isRetryAttempt);
            }
            else if (isRetryAttempt) {
                deepestRetryTimes.push(nowMs);
            }
        });
    };
    for (let nowMs = 0; nowMs < 40_000; nowMs += 1_000 / requestsPerSecond) {
        send(0, nowMs, false);
    }
    return { retries: countMaxPerWindow(deepestRetryTimes), requests: requestsPerSecond * 10 };
};

describe("RetryBudget when every request fails", () => {
    it.each([1, 12, 86])("keeps %i nodes together within the budget in every window", nodes => {
        const { retries, requests } = runNodes(nodes, 20);
        expect(retries).toBeLessThanOrEqual(options.ratio * requests + options.slack);
        expect(retries).toBeGreaterThan(0.05 * requests);
    });

    it("keeps idle nodes within the slack", () => {
        const { retries } = runNodes(12, 0.1);
        expect(retries).toBeLessThanOrEqual(options.slack + 0.2 * 12);
    });

    it("allows a retry of each direct request where these are few", () => {
        expect(computeRetryBudgetShare(options, 12, { nestedCalls: 0, directShare: 0.02 }).ratio).toBe(1);
        expect(computeRetryBudgetShare(options, 12, { nestedCalls: 0, directShare: 0.5 }).ratio).toBeCloseTo(0.12);
        expect(computeRetryBudgetShare(options, 12, { nestedCalls: 4, directShare: 0.02 }).ratio).toBeCloseTo(0.04);
    });

    it.each([2, 4, 9])("keeps the deepest of %i services within the budget", depth => {
        const { retries, requests } = runChain(depth, 50);
        expect(retries).toBeLessThanOrEqual(options.ratio * requests + options.slack);
    });
});
