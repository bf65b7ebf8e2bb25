import { compareGolden } from "../../src/testing/compareGolden";
import { createSmallExperiment } from "./index";
import { runExperiment } from "./runExperiment";
import { type ExperimentResult, type Trigger } from "./types";

const triggers: readonly Trigger[] = [
    { name: "slow", workFactors: { fuelpost: 6 }, rateFactor: 1 },
    { name: "surge", workFactors: {}, rateFactor: 3 },
    { name: "slow-and-surge", workFactors: { fuelpost: 6 }, rateFactor: 3 },
];

const seed = 1;
const longestRecoveryMs = 5_000;
const largestRetryShare = 0.1;

const formatResult = (result: ExperimentResult): string =>
    `${
        JSON.stringify(result, (key, value: unknown) =>
            typeof value === "number" ? Number(value.toFixed(3)) : value, 4)
    }\n`;

describe("whole sessions of the small Ertis graph", () => {
    it.each(triggers)("under '$name' meet the goals and go as in the golden file", trigger => {
        const result = runExperiment({ ...createSmallExperiment(seed), trigger }, "pomelovalve");
        expect(result.doubleRuns).toBe(0);
        expect(result.untrueRefusals).toBe(0);
        expect(result.unanswered).toBe(0);
        expect(result.recoveryMs).toBeLessThanOrEqual(longestRecoveryMs);
        expect(result.retriesPerCall).toBeLessThanOrEqual(largestRetryShare);
        compareGolden(`${__dirname}/${trigger.name}.golden.json`, formatResult(result));
    });

    it("do not recover within the goal without nodes under the harshest trigger, so that the comparison is fair", () => {
        const trigger = triggers[triggers.length - 1]!;
        const result = runExperiment({ ...createSmallExperiment(seed), trigger }, "none");
        expect(result.recoveryMs ?? Infinity).toBeGreaterThan(longestRecoveryMs);
        expect(result.doubleRuns).toBeGreaterThan(0);
    });
});
