/** Compares algorithms that determine the concurrency limit, under the same loads and faults. */
import { mkdirSync, writeFileSync } from "node:fs";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { AimdLimit, FixedLimit, GradientLimit, type LimitAlgorithm } from "../../src/decisions/limitAlgorithms";
import { type Policy } from "../../src/policy/types";
import { createSmallExperiment } from "../virtual";
import { runExperiment } from "../virtual/runExperiment";
import { type Experiment, type ExperimentResult } from "../virtual/types";

/** Folder for the results of the comparison, and seeds of its loads. */
export interface LimitsOptions {
    readonly outFolder: string;
    /** Each case runs with each algorithm once per seed. */
    readonly seeds: readonly number[];
}

interface LimitCase {
    readonly name: string;
    readonly createExperiment: (seed: number) => Experiment;
}

const algorithms: readonly { readonly name: string; readonly algorithm: LimitAlgorithm; }[] = [
    { name: "fixed", algorithm: new FixedLimit() },
    { name: "additive", algorithm: new AimdLimit() },
    { name: "gradient", algorithm: new GradientLimit() },
];

/** Status that fake upstreams answer with when they shed a request. */
const shedStatus = 503;
/** Actual slots of a fuelpost upstream: half of the slots that the policy declares. */
const degradedSlots = 2;

/** Declares in a policy that fuelpost has not run the requests that it answers with `shedStatus`. */
const declareShedding = (policy: Policy): Policy => ({
    ...policy,
    services: { ...policy.services, fuelpost: { ...policy.services["fuelpost"]!, notRunStatuses: [shedStatus] } },
});

const cases: readonly LimitCase[] = [
    { name: "work 6 times slower, slots as declared", createExperiment: createSmallExperiment },
    {
        name: "half the declared slots, sheds its queue",
        createExperiment: seed => {
            const experiment = createSmallExperiment(seed);
            return {
                ...experiment,
                policy: declareShedding(experiment.policy),
                realSlots: { fuelpost: degradedSlots },
                maxQueuedByService: { fuelpost: 0 },
                trigger: { name: "surge of 2", workFactors: {}, rateFactor: 2 },
            };
        },
    },
    {
        name: "half the declared slots, queues without a word",
        createExperiment: seed => ({
            ...createSmallExperiment(seed),
            realSlots: { fuelpost: degradedSlots },
            trigger: { name: "surge of 2", workFactors: {}, rateFactor: 2 },
        }),
    },
];

const criticalClassNames: ReadonlySet<string> = new Set(["booking", "allocation"]);

/** Computes the goodput of some classes during the trigger, in successful actions per second. */
const computeTriggerGoodput = (result: ExperimentResult, isCountedClass: (name: string) => boolean): number =>
    result.classes.filter(({ name }) => isCountedClass(name)).reduce((sum, { during }) => sum + during, 0);

const createRow = (caseName: string, algorithmName: string, seed: number, result: ExperimentResult) => [
    caseName,
    algorithmName,
    seed,
    computeTriggerGoodput(result, name => criticalClassNames.has(name)).toFixed(1),
    computeTriggerGoodput(result, name => name === "fuel look-up").toFixed(1),
    Math.max(...result.classes.filter(({ name }) => criticalClassNames.has(name)).map(({ p99Ms }) => p99Ms)).toFixed(0),
    result.recoveryMs === undefined ? "never" : (result.recoveryMs / 1_000).toFixed(1),
    (result.wastedShare * 100).toFixed(1),
];

const columns = ["CASE", "LAW", "SEED", "CRITICAL/S", "FUEL LOOK-UPS/S", "P99 CRITICAL MS", "RECOVERY S", "WASTED %"];

/** Runs each case with each algorithm and seed, prints the result table and writes it to `limits.txt`. */
export const runLimits = (options: LimitsOptions): void => {
    const rows = cases.flatMap(limitCase =>
        algorithms.flatMap(({ name, algorithm }) =>
            options.seeds.map(seed => {
                const experiment = { ...limitCase.createExperiment(seed), limitAlgorithm: algorithm };
                return createRow(limitCase.name, name, seed, runExperiment(experiment, "pomelovalve"));
            })
        )
    );
    const text = renderTable(columns, rows);
    mkdirSync(options.outFolder, { recursive: true });
    writeFileSync(`${options.outFolder}/limits.txt`, text);
    process.stdout.write(text);
};
