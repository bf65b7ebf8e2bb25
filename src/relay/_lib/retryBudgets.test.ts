/** Load pattern: a deep service rejects half of the nested calls that many trees of different rank make to it. */
import { createRandom } from "../../_lib/createRandom";
import { createReport } from "../../testing/createReport";
import { type BudgetedRequest, RetryBudgets } from "./retryBudgets";

const windowMs = 10_000;
const callsPerSecond = 12;
const callIntervalMs = 1_000 / callsPerSecond;
const importantRank = 0;
const ordinaryRank = 2;
const callsPerTree = 4;
const maxUpstreams = 3;

interface TreeCounts {
    trees: number;
    complete: number;
    retries: number;
}

interface Outcome {
    readonly important: TreeCounts;
    readonly ordinary: TreeCounts;
}

/** Runs one of 195 nodes: `calmMs` without rejections, then 8 s in which half of the attempts are rejected. */
const runNode = (importantShare: number, seed: number): Outcome => {
    let nowMs = 0;
    const sampleRandom = createRandom(seed);
    const budgets = new RetryBudgets({ ratio: 0.2, slack: 213, windowMs }, () => nowMs);
    budgets.updateNodeCount(195);
    const outcome: Outcome = {
        important: { trees: 0, complete: 0, retries: 0 },
        ordinary: { trees: 0, complete: 0, retries: 0 },
    };
    const isCallComplete = (request: BudgetedRequest, rejectedShare: number, counts: TreeCounts): boolean => {
        budgets.recordRequest("stock", request, false);
        for (let attempt = 1; sampleRandom() < rejectedShare; attempt += 1) {
            if (attempt >= maxUpstreams || !budgets.tryConsume("stock", request)) {
                return false;
            }
            counts.retries += 1;
        }
        budgets.recordAnswer("stock", true, createReport());
        return true;
    };
    const runTrees = (untilMs: number, rejectedShare: number, isCounted: boolean): void => {
        while (nowMs < untilMs) {
            const isImportant = sampleRandom() < importantShare;
            const counts = isImportant ? outcome.important : outcome.ordinary;
            const discarded: TreeCounts = { trees: 0, complete: 0, retries: 0 };
            const counted = isCounted ? counts : discarded;
            counted.trees += 1;
            const rank = isImportant ? importantRank : ordinaryRank;
            let completeCalls = 0;
            while (
                completeCalls < callsPerTree
                && isCallComplete({ nested: true, rank, succeededSiblings: completeCalls }, rejectedShare, counted)
            ) {
                completeCalls += 1;
                nowMs += callIntervalMs;
            }
            nowMs += callIntervalMs;
            counted.complete += completeCalls === callsPerTree ? 1 : 0;
        }
    };
    runTrees(20_000, 0, false);
    runTrees(28_000, 0.5, true);
    return outcome;
};

const computeTotals = (importantShare: number): Outcome => {
    const total: Outcome = {
        important: { trees: 0, complete: 0, retries: 0 },
        ordinary: { trees: 0, complete: 0, retries: 0 },
    };
    for (let seed = 1; seed <= 60; seed += 1) {
        const outcome = runNode(importantShare, seed);
        (["important", "ordinary"] as const).forEach(kind => {
            total[kind].trees += outcome[kind].trees;
            total[kind].complete += outcome[kind].complete;
            total[kind].retries += outcome[kind].retries;
        });
    }
    return total;
};

describe("RetryBudgets while a deep service rejects half of the calls", () => {
    it("completes important trees at least twice as often as ordinary ones", () => {
        const { important, ordinary } = computeTotals(0.2);
        expect(important.complete / important.trees).toBeGreaterThan(2 * ordinary.complete / ordinary.trees);
    });

    it("spends the whole budget on ordinary trees where no others are", () => {
        const { ordinary } = computeTotals(0);
        const { important } = computeTotals(1);
        expect(ordinary.complete / ordinary.trees).toBeGreaterThan(0.9 * important.complete / important.trees);
    });

    it("retries no more calls with important trees than without", () => {
        const countRetries = ({ important, ordinary }: Outcome): number => important.retries + ordinary.retries;
        expect(countRetries(computeTotals(0.2))).toBeLessThanOrEqual(countRetries(computeTotals(0)) * 1.05);
    });
});
