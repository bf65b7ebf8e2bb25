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
const maxRecoveryMs = 5_000;
const maxRetriesPerCall = 0.1;

const formatResult = (result: ExperimentResult): string =>
    `${
        JSON.stringify(result, (key, value: unknown) =>
            typeof value === "number" ? Number(value.toFixed(3)) : value, 4)
    }\n`;

describe("runs of the small call graph", () => {
    it.each(triggers)("meet the goals and match the golden file under '$name'", trigger => {
        const result = runExperiment({ ...createSmallExperiment(seed), trigger }, "pomelovalve");
        expect(result.doubleRuns).toBe(0);
        expect(result.untrueRefusals).toBe(0);
        expect(result.unanswered).toBe(0);
        expect(result.recoveryMs).toBeLessThanOrEqual(maxRecoveryMs);
        expect(result.retriesPerCall).toBeLessThanOrEqual(maxRetriesPerCall);
        compareGolden(`${__dirname}/${trigger.name}.golden.json`, formatResult(result));
    });

    it("miss the goals without nodes under the combined trigger, so meeting them depends on the nodes", () => {
        const trigger = triggers[triggers.length - 1]!;
        const result = runExperiment({ ...createSmallExperiment(seed), trigger }, "none");
        expect(result.recoveryMs ?? Infinity).toBeGreaterThan(maxRecoveryMs);
        expect(result.doubleRuns).toBeGreaterThan(0);
    });
});
