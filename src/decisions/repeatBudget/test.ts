import { RepeatBudget } from "./index";

const allowance = { ratio: 0.2, slack: 47, windowMs: 10_000 };

/** Plays nodes that repeat as often as they may; returns the most repeats in any window, and the requests in it. */
const runNodes = (nodes: number, requestsPerSecond: number): { repeats: number; requests: number; } => {
    const budgets = Array.from({ length: nodes }, () => new RepeatBudget(allowance, nodes, 0));
    const repeatTimes: number[] = [];
    for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
        budgets.forEach(budget => {
            const due = nowMs % (1_000 / requestsPerSecond) < 10;
            if (due) {
                budget.recordRequest(nowMs);
            }
            while (budget.tryTake(nowMs)) {
                repeatTimes.push(nowMs);
            }
        });
    }
    let most = 0;
    for (let startMs = 0; startMs < 30_000; startMs += 100) {
        most = Math.max(most, repeatTimes.filter(atMs => atMs >= startMs && atMs < startMs + 10_000).length);
    }
    return { repeats: most, requests: nodes * requestsPerSecond * 10 };
};

describe("RepeatBudget when every request fails", () => {
    it.each([1, 12, 86])("keeps %i nodes together within the allowance in every window", nodes => {
        const { repeats, requests } = runNodes(nodes, 20);
        expect(repeats).toBeLessThanOrEqual(allowance.ratio * requests + allowance.slack);
        expect(repeats).toBeGreaterThan(0.05 * requests);
    });

    it("keeps idle nodes within the slack", () => {
        const { repeats } = runNodes(12, 0.1);
        expect(repeats).toBeLessThanOrEqual(allowance.slack + 0.2 * 12);
    });
});
