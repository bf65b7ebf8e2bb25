/** Experiments on a virtual clock: each trigger under each kind of control. */
import { mkdirSync, writeFileSync } from "node:fs";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { createDemoScenario } from "../demo/scenario";
import { caiClasses, caiRoutes, loadCaiPolicy } from "../scenarios/cai";
import { type EntryClass, ertisClasses, ertisRoutes, loadErtisPolicy } from "../scenarios/ertis";
import { runExperiment } from "./runExperiment";
import { type ControlKind, type Experiment, type ExperimentResult, type Trigger } from "./types";

const allControls: readonly ControlKind[] = ["none", "fixed", "pomelovalve"];
const ertisActionsPerSecond = 1_500;
const caiActionsPerSecond = 1_000;

/** Creates the triggers of a graph: a slow service, a surge, and both at once. */
const createTriggers = (service: string): readonly Trigger[] => [
    { name: `${service} 4 times slower`, workFactors: { [service]: 4 }, rateFactor: 1 },
    { name: "surge of 3", workFactors: {}, rateFactor: 3 },
    { name: `${service} 4 times slower and surge of 3`, workFactors: { [service]: 4 }, rateFactor: 3 },
];

/** Times and attempts that the full-size experiments share. */
const sharedTiming = {
    attemptTimeoutMs: 1_500,
    maxAttempts: 4,
    maxUsefulLatencyMs: 2_000,
    warmupEndMs: 4_000,
    triggerStartMs: 8_000,
    triggerEndMs: 16_000,
    durationMs: 28_000,
} as const;

const createClasses = (classes: readonly EntryClass[], actionsPerSecond: number): readonly EntryClass[] =>
    classes.map(entryClass => ({ ...entryClass, ratePerSecond: entryClass.ratePerSecond * actionsPerSecond }));

/** Creates the experiments on the CAI graph. */
export const createCaiExperiments = (seed: number): readonly Experiment[] =>
    createTriggers("signoff-ledger").map(trigger => ({
        ...sharedTiming,
        graphName: "cai",
        policy: loadCaiPolicy(),
        routes: caiRoutes,
        classes: createClasses(caiClasses, caiActionsPerSecond),
        bottleneckService: "signoff-ledger",
        seed,
        trigger,
    }));

/** Creates an experiment from the scenario of the demo. Its few slots make results depend more on the random draws. */
export const createSmallExperiment = (seed: number): Experiment => {
    const scenario = createDemoScenario(seed);
    return {
        ...scenario,
        graphName: "ertis-small",
        routes: scenario.upstreamRoutes,
        bottleneckService: scenario.triggerService,
        trigger: {
            name: `${scenario.triggerService} ${scenario.triggerFactor} times slower`,
            workFactors: { [scenario.triggerService]: scenario.triggerFactor },
            rateFactor: 1,
        },
    };
};

/** Creates the experiments on the Ertis graph. */
export const createErtisExperiments = (seed: number): readonly Experiment[] =>
    createTriggers("fuelpost").map(trigger => ({
        ...sharedTiming,
        graphName: "ertis",
        policy: loadErtisPolicy(),
        routes: ertisRoutes,
        classes: createClasses(ertisClasses, ertisActionsPerSecond),
        bottleneckService: "fuelpost",
        seed,
        trigger,
    }));

/** Creates the experiments on a graph, or on all graphs if none is given. */
const listExperiments = (graph: string | undefined, seed: number): readonly Experiment[] => {
    const all = [createSmallExperiment(seed), ...createCaiExperiments(seed), ...createErtisExperiments(seed)];
    return graph === undefined ? all : all.filter(experiment => experiment.graphName === graph);
};

const formatRate = (value: number): string => value.toFixed(0);

const listClassRows = (experiment: Experiment, result: ExperimentResult): readonly (readonly (string | number)[])[] =>
    result.classes.map(classResult => [
        experiment.graphName,
        experiment.trigger.name,
        result.control,
        classResult.name,
        formatRate(classResult.before),
        formatRate(classResult.offeredDuring),
        formatRate(classResult.during),
        formatRate(classResult.after),
        classResult.p99Ms.toFixed(0),
    ]);

const createSummaryRow = (experiment: Experiment, result: ExperimentResult): readonly (string | number)[] => [
    experiment.graphName,
    experiment.trigger.name,
    result.control,
    result.recoveryMs === undefined ? "never" : `${(result.recoveryMs / 1_000).toFixed(1)} s`,
    `${(result.retriesPerCall * 100).toFixed(1)}%`,
    `${(result.wastedShare * 100).toFixed(1)}%`,
    result.doubleRuns,
    result.untrueRefusals,
    result.unanswered,
];

const classColumns = ["GRAPH", "TRIGGER", "CONTROL", "CLASS", "BEFORE/S", "OFFERED/S", "DURING/S", "AFTER/S", "P99 MS"];
const summaryColumns = [
    "GRAPH",
    "TRIGGER",
    "CONTROL",
    "RECOVERY",
    "RETRIES/CALL",
    "WASTED",
    "DOUBLE",
    "UNTRUE",
    "UNANSWERED",
];

/** Options of the experiments on a virtual clock. */
export interface VirtualOptions {
    readonly outFolder: string;
    readonly seed: number;
    /** Graph to run: ertis-small, ertis or cai; all by default. */
    readonly graph?: string;
    /** Kinds of control to run; all by default. */
    readonly controls?: readonly ControlKind[];
}

/** Runs the experiments, prints the result tables and writes them to `experiments.txt`. */
export const runVirtual = (options: VirtualOptions): void => {
    const results = listExperiments(options.graph, options.seed).flatMap(experiment =>
        (options.controls ?? allControls).map(control => {
            const result = runExperiment(experiment, control);
            process.stdout.write(`${experiment.graphName}, ${experiment.trigger.name}, ${control}: done\n`);
            return { experiment, result };
        })
    );
    const classTable = renderTable(
        classColumns,
        results.flatMap(({ experiment, result }) => listClassRows(experiment, result)),
    );
    const summaryTable = renderTable(
        summaryColumns,
        results.map(({ experiment, result }) => createSummaryRow(experiment, result)),
    );
    const text = `seed ${options.seed}\n\n${classTable}\n${summaryTable}`;
    mkdirSync(options.outFolder, { recursive: true });
    writeFileSync(`${options.outFolder}/experiments.txt`, text);
    process.stdout.write(text);
};
