import { computeRepeatPart, type RepeatAllowance, RepeatBudget } from "./index";

const allowance: RepeatAllowance = { ratio: 0.2, slack: 47, windowMs: 10_000 };

interface Figures {
    readonly repeats: number;
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
    const part = computeRepeatPart(allowance, nodes, { calls: 0, directShare: 1 });
    const budgets = Array.from({ length: nodes }, () => new RepeatBudget(part, 0));
    const repeatTimes: number[] = [];
    for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
        budgets.forEach(budget => {
            if (nowMs % (1_000 / requestsPerSecond) < 10) {
                budget.recordRequest(nowMs);
            }
            while (budget.tryTake(nowMs)) {
                repeatTimes.push(nowMs);
            }
        });
    }
    return { repeats: countMost(repeatTimes), requests: nodes * requestsPerSecond * 10 };
};

/** Plays a chain in which each request makes one call and everything is repeated as often as it may. */
const runChain = (levels: number, requestsPerSecond: number): Figures => {
    const budgets = Array.from(
        { length: levels },
        (unused, level) =>
            new RepeatBudget(computeRepeatPart(allowance, 1, { calls: levels - 1 - level, directShare: 1 }), 0),
    );
    const deepest: number[] = [];
    const send = (level: number, nowMs: number, isRepeat: boolean): void => {
        const budget = budgets[level]!;
        if (isRepeat) {
            budget.recordDebit(nowMs);
        }
        else {
            budget.recordRequest(nowMs);
        }
        const sendings = budget.tryTake(nowMs) ? [isRepeat, true] : [isRepeat];
        sendings.forEach(repeated => {
            if (level + 1 < levels) {
                send(level + 1, nowMs, repeated);
            }
            else if (repeated) {
                deepest.push(nowMs);
            }
        });
    };
    for (let nowMs = 0; nowMs < 40_000; nowMs += 1_000 / requestsPerSecond) {
        send(0, nowMs, false);
    }
    return { repeats: countMost(deepest), requests: requestsPerSecond * 10 };
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

    it("lets the few requests of callers at a deep service be repeated each", () => {
        expect(computeRepeatPart(allowance, 12, { calls: 0, directShare: 0.02 }).ratio).toBe(1);
        expect(computeRepeatPart(allowance, 12, { calls: 0, directShare: 0.5 }).ratio).toBeCloseTo(0.12);
        expect(computeRepeatPart(allowance, 12, { calls: 4, directShare: 0.02 }).ratio).toBeCloseTo(0.04);
    });

    it.each([2, 4, 9])("keeps the deepest of %i services within the allowance", levels => {
        const { repeats, requests } = runChain(levels, 50);
        expect(repeats).toBeLessThanOrEqual(allowance.ratio * requests + allowance.slack);
    });
});
