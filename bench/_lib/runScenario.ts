/** Runs a scenario once, with or without nodes. */
import { readFileSync } from "node:fs";
import { type ActionRecord, type CallersConfig } from "../../src/standins/types";
import { type RunSummary, type Scenario } from "../types";
import { Cluster, type ClusterOptions } from "./cluster";
import { applyLatencyLimit, summarizeRun } from "./summarize";

/** A step that runs on the cluster at a fixed time after the start of the load. */
export interface TimedStep {
    readonly atMs: number;
    readonly run: (cluster: Cluster) => Promise<void>;
}

/** Options of the cluster and of the load that runs on it. */
export interface RunOptions extends ClusterOptions {
    /** Name of the run in the results. */
    readonly label: string;
    /** Steps to run in addition to the start and the end of the trigger. */
    readonly steps?: readonly TimedStep[];
    readonly showProgress: (text: string) => void;
}

const awaitUntil = (startedAtMs: number, offsetMs: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, Math.max(0, startedAtMs + offsetMs - performance.now()));
    });

const listTriggerSteps = (scenario: Scenario, options: RunOptions): readonly TimedStep[] => [
    {
        atMs: scenario.triggerStartMs,
        run: cluster => {
            options.showProgress(`${scenario.triggerService} is ${scenario.triggerFactor} times slower from now on`);
            return cluster.updateWorkFactor(scenario.triggerService, scenario.triggerFactor);
        },
    },
    {
        atMs: scenario.triggerEndMs,
        run: cluster => {
            options.showProgress(`${scenario.triggerService} has its old speed again`);
            return cluster.updateWorkFactor(scenario.triggerService, 1);
        },
    },
];

const runSteps = async (cluster: Cluster, steps: readonly TimedStep[]): Promise<void> => {
    const startedAtMs = performance.now();
    await Promise.all(steps.map(async step => {
        await awaitUntil(startedAtMs, step.atMs);
        await step.run(cluster);
    }));
};

/** Runs a scenario on a new cluster, stops the cluster and summarizes the results. */
export const runScenario = async (scenario: Scenario, options: RunOptions): Promise<RunSummary> => {
    const cluster = new Cluster(scenario, options);
    try {
        options.showProgress("starting the processes");
        await cluster.start();
        const callersConfig: CallersConfig = {
            seed: scenario.seed,
            entries: cluster.listEntryAddresses(),
            classes: scenario.classes,
            durationMs: scenario.durationMs,
            attemptTimeoutMs: scenario.attemptTimeoutMs,
            maxAttempts: scenario.maxAttempts,
        };
        const configFile = cluster.writeFile("callers.json", callersConfig);
        const resultFile = `${options.folder}/actions.json`;
        options.showProgress(`load for ${scenario.durationMs / 1_000} s`);
        const callersExit = cluster.processes.run({
            name: "callers",
            file: process.execPath,
            args: [`${options.distFolder}/standins.cjs`, "callers", configFile, resultFile],
        });
        await runSteps(cluster, [...listTriggerSteps(scenario, options), ...(options.steps ?? [])]);
        await callersExit;
        const actions = JSON.parse(readFileSync(resultFile, "utf8")) as readonly ActionRecord[];
        const records = actions.map(record => applyLatencyLimit(record, scenario.maxUsefulLatencyMs));
        return summarizeRun(options.label, records, await cluster.readReports(), scenario);
    }
    finally {
        await cluster.stop();
    }
};
