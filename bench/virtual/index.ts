/** Runs experiments on a virtual clock: each trigger of each call graph under each kind of control. */
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

/** Creates three triggers: a service 4 times slower, 3 times the request rate, and both at once. */
const createTriggers = (service: string): readonly Trigger[] => [
    { name: `${service} 4 times slower`, workFactors: { [service]: 4 }, rateFactor: 1 },
    { name: "surge of 3", workFactors: {}, rateFactor: 3 },
    { name: `${service} 4 times slower and surge of 3`, workFactors: { [service]: 4 }, rateFactor: 3 },
];

/** Load phases, timeouts and attempts that all experiments on the full-size graphs have in common. */
const sharedLoadOptions = {
    attemptTimeoutMs: 1_500,
    maxAttempts: 4,
    maxUsefulLatencyMs: 2_000,
    warmupEndMs: 4_000,
    triggerStartMs: 8_000,
    triggerEndMs: 16_000,
    durationMs: 28_000,
} as const;

/** Scales the rates of classes, which add up to 1 action per second, to a total rate. */
const createScaledClasses = (classes: readonly EntryClass[], actionsPerSecond: number): readonly EntryClass[] =>
    classes.map(entryClass => ({ ...entryClass, ratePerSecond: entryClass.ratePerSecond * actionsPerSecond }));

/** Creates one experiment on the CAI graph for each trigger. */
export const createCaiExperiments = (seed: number): readonly Experiment[] =>
    createTriggers("signoff-ledger").map(trigger => ({
        ...sharedLoadOptions,
        graphName: "cai",
        policy: loadCaiPolicy(),
        routes: caiRoutes,
        classes: createScaledClasses(caiClasses, caiActionsPerSecond),
        bottleneckService: "signoff-ledger",
        seed,
        trigger,
    }));

/** Creates an experiment from the demo scenario. With its few slots, results vary more from seed to seed. */
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

/** Creates one experiment on the full-size Ertis graph for each trigger. */
export const createErtisExperiments = (seed: number): readonly Experiment[] =>
    createTriggers("fuelpost").map(trigger => ({
        ...sharedLoadOptions,
        graphName: "ertis",
        policy: loadErtisPolicy(),
        routes: ertisRoutes,
        classes: createScaledClasses(ertisClasses, ertisActionsPerSecond),
        bottleneckService: "fuelpost",
        seed,
        trigger,
    }));

/** Creates the experiments on one graph, or on all graphs if `graphName` is undefined. */
const listExperiments = (graphName: string | undefined, seed: number): readonly Experiment[] => {
    const all = [createSmallExperiment(seed), ...createCaiExperiments(seed), ...createErtisExperiments(seed)];
    return graphName === undefined ? all : all.filter(experiment => experiment.graphName === graphName);
};

const formatRate = (value: number): string => value.toFixed(0);

const createClassRows = (experiment: Experiment, result: ExperimentResult): readonly (readonly (string | number)[])[] =>
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

/** Selection of the experiments to run, and the folder for their results. */
export interface VirtualOptions {
    readonly outFolder: string;
    readonly seed: number;
    /** Name of the only graph to run: ertis-small, ertis or cai; all graphs by default. */
    readonly graph?: string;
    /** Kinds of control to run each experiment under; all by default. */
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
        results.flatMap(({ experiment, result }) => createClassRows(experiment, result)),
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
