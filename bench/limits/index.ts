/** Compares laws of the concurrency limit on the same loads and faults. */
import { mkdirSync, writeFileSync } from "node:fs";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { AdditiveLimit, FixedLimit, GradientLimit, type LimitLaw } from "../../src/decisions/limitLaws";
import { type Policy } from "../../src/policy/types";
import { createSmallExperiment } from "../virtual";
import { runExperiment } from "../virtual/runExperiment";
import { type Experiment, type ExperimentResult } from "../virtual/types";

/** What the comparison is run with. */
export interface LimitsOptions {
    readonly outFolder: string;
    readonly seeds: readonly number[];
}

interface LimitCase {
    readonly name: string;
    readonly createExperiment: (seed: number) => Experiment;
}

const laws: readonly { readonly name: string; readonly law: LimitLaw; }[] = [
    { name: "fixed", law: new FixedLimit() },
    { name: "additive", law: new AdditiveLimit() },
    { name: "gradient", law: new GradientLimit() },
];

const shedStatus = 503;
const weakSlots = 2;

/** A policy in which fuelpost's refusals are declared as not run. */
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
                realSlots: { fuelpost: weakSlots },
                maxQueuedByService: { fuelpost: 0 },
                trigger: { name: "surge of 2", workFactors: {}, rateFactor: 2 },
            };
        },
    },
    {
        name: "half the declared slots, queues without a word",
        createExperiment: seed => ({
            ...createSmallExperiment(seed),
            realSlots: { fuelpost: weakSlots },
            trigger: { name: "surge of 2", workFactors: {}, rateFactor: 2 },
        }),
    },
];

const criticalNames: ReadonlySet<string> = new Set(["booking", "allocation"]);

const computeDuring = (result: ExperimentResult, isCounted: (name: string) => boolean): number =>
    result.classes.filter(({ name }) => isCounted(name)).reduce((sum, { during }) => sum + during, 0);

const listRow = (caseName: string, lawName: string, seed: number, result: ExperimentResult) => [
    caseName,
    lawName,
    seed,
    computeDuring(result, name => criticalNames.has(name)).toFixed(1),
    computeDuring(result, name => name === "fuel look-up").toFixed(1),
    Math.max(...result.classes.filter(({ name }) => criticalNames.has(name)).map(({ p99Ms }) => p99Ms)).toFixed(0),
    result.recoveryMs === undefined ? "never" : (result.recoveryMs / 1_000).toFixed(1),
    (result.wastedShare * 100).toFixed(1),
];

const head = ["CASE", "LAW", "SEED", "CRITICAL/S", "FUEL LOOK-UPS/S", "P99 CRITICAL MS", "RECOVERY S", "WASTED %"];

/** Runs all laws on all cases; prints the table and writes it. */
export const runLimits = (options: LimitsOptions): void => {
    const rows = cases.flatMap(item =>
        laws.flatMap(({ name, law }) =>
            options.seeds.map(seed => {
                const experiment = { ...item.createExperiment(seed), limitLaw: law };
                return listRow(item.name, name, seed, runExperiment(experiment, "pomelovalve"));
            })
        )
    );
    const text = renderTable(head, rows);
    mkdirSync(options.outFolder, { recursive: true });
    writeFileSync(`${options.outFolder}/limits.txt`, text);
    process.stdout.write(text);
};
