/** Demo: runs the Ertis call graph with a slow fuelpost service, first without and then with pomelovalve. */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "undici";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { type Cluster } from "../_lib/cluster";
import { renderPlot } from "../_lib/renderPlot";
import { runScenario, type TimedStep } from "../_lib/runScenario";
import { type RunSummary, type Scenario } from "../types";
import { createDemoScenario } from "./scenario";

/** Time from the start of the load to the policy patch. */
const patchAtMs = 5_000;
const adoptionPollIntervalMs = 20;
const adoptionTimeoutMs = 8_000;

/** Folders of the demo and the seed of its load. */
export interface DemoOptions {
    /** Folder that contains the built programs. */
    readonly distFolder: string;
    /** Folder for the results; its previous contents are deleted. */
    readonly outFolder: string;
    readonly seed: number;
}

const formatShare = (share: number): string => `${(share * 100).toFixed(1)}%`;

const createClassRows = (summary: RunSummary): readonly (readonly (string | number)[])[] =>
    summary.classes.map(classSummary => [
        summary.label,
        classSummary.name,
        classSummary.begun,
        formatShare(classSummary.beforeShare),
        formatShare(classSummary.triggerShare),
        formatShare(classSummary.afterShare),
        classSummary.p50Ms.toFixed(0),
        classSummary.p99Ms.toFixed(0),
    ]);

const createRunRow = (summary: RunSummary): readonly (string | number)[] => [
    summary.label,
    summary.recoveryMs === undefined ? "not in the run" : `${(summary.recoveryMs / 1_000).toFixed(1)} s`,
    summary.attemptsPerAction.toFixed(2),
    summary.upstreamRuns,
    summary.cancelledRuns,
    summary.doubleRuns,
    summary.untrueRefusals,
];

/** Renders two tables: one with a row for each class of each run, and one with a row for each run. */
export const renderDemoTables = (summaries: readonly RunSummary[]): string => {
    const classColumns = ["RUN", "CLASS", "BEGUN", "WHOLE BEFORE", "IN TRIGGER", "AFTER", "P50 MS", "P99 MS"];
    const runColumns = [
        "RUN",
        "RECOVERY",
        "ATTEMPTS/ACTION",
        "UPSTREAM RUNS",
        "CANCELLED RUNS",
        "DOUBLE RUNS",
        "UNTRUE REFUSALS",
    ];
    return `${renderTable(classColumns, summaries.flatMap(createClassRows))}\n${
        renderTable(runColumns, summaries.map(createRunRow))
    }`;
};

const renderDemoPlot = (summaries: readonly RunSummary[], scenario: Scenario): string => {
    const colors = ["#b3261e", "#1b6e3c"];
    const lines = summaries.map((summary, index) => ({
        label: summary.label,
        color: colors[index] ?? "#444",
        points: summary.total,
    }));
    return renderPlot(lines, { ...scenario, title: "Goodput of whole requests per second (shaded: fuelpost is slow)" });
};

const readPolicyVersion = async (controlPort: number): Promise<number> => {
    const answer = await request(`http://127.0.0.1:${controlPort}/metrics`);
    const text = await answer.body.text();
    return Number(/^pomelovalve_policy_version (\d+)$/mu.exec(text)?.[1] ?? 0);
};

/** Waits until a policy version is in force on all nodes. Returns the wait in milliseconds. Throws after 8 s. */
const awaitPolicyVersion = async (cluster: Cluster, version: number): Promise<number> => {
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < adoptionTimeoutMs) {
        const versions = await Promise.all(cluster.ports.map(ports => readPolicyVersion(ports.control)));
        if (versions.every(current => current >= version)) {
            return performance.now() - startedAtMs;
        }
        await new Promise(resolve => setTimeout(resolve, adoptionPollIntervalMs));
    }
    throw new Error(`policy version ${version} is not in force on all nodes after ${adoptionTimeoutMs} ms`);
};

/** Creates a step that patches the policy log on the command line, as an operator does, and publishes it. */
const createPatchStep = (options: DemoOptions, showProgress: (text: string) => void): TimedStep => ({
    atMs: patchAtMs,
    run: async cluster => {
        const logFile = cluster.writeFile("ertis.log.json", cluster.policyLog);
        const patch = [{ op: "replace", path: "/services/fuelpost/reservedShare", value: 0.25 }];
        const patchFile = cluster.writeFile("patch.json", patch);
        const metadataArgs = ["--author", "aida", "--reason", "more room for look-ups"];
        const args = ["policy", "patch", logFile, "--against", "1", "--patch", patchFile, ...metadataArgs];
        execFileSync(`${options.distFolder}/pomelovalve`, args);
        await cluster.publish("policy", JSON.parse(readFileSync(logFile, "utf8")));
        const adoptionMs = await awaitPolicyVersion(cluster, 2);
        showProgress(
            `policy version 2 is in force on all ${cluster.ports.length} nodes after ${adoptionMs.toFixed(0)} ms`,
        );
    },
});

/** Runs the demo, prints the result tables, and writes the tables, the results as JSON and a plot. */
export const runDemo = async (options: DemoOptions): Promise<void> => {
    const scenario = createDemoScenario(options.seed);
    const startedAtMs = performance.now();
    const workFolder = `${options.outFolder}/work`;
    rmSync(options.outFolder, { recursive: true, force: true });
    mkdirSync(workFolder, { recursive: true });
    const showProgress = (text: string): void => {
        const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1).padStart(5);
        process.stdout.write(`${seconds} s  ${text}\n`);
    };
    const sharedOptions = {
        distFolder: options.distFolder,
        program: { file: `${options.distFolder}/pomelovalve`, args: [] },
        showProgress,
    };
    showProgress("without pomelovalve: plain retries at every hop");
    const withoutNodes = await runScenario(scenario, {
        ...sharedOptions,
        kind: "direct",
        label: "without",
        folder: `${workFolder}/without`,
    });
    showProgress("with pomelovalve: the same load and seed");
    const withNodes = await runScenario(scenario, {
        ...sharedOptions,
        kind: "node",
        label: "pomelovalve",
        folder: `${workFolder}/pomelovalve`,
        steps: [createPatchStep(options, showProgress)],
    });
    const summaries = [withoutNodes, withNodes];
    const tables = renderDemoTables(summaries);
    writeFileSync(`${options.outFolder}/demo.txt`, tables);
    writeFileSync(`${options.outFolder}/demo.json`, `${JSON.stringify(summaries, undefined, 1)}\n`);
    writeFileSync(`${options.outFolder}/demo.svg`, renderDemoPlot(summaries, scenario));
    process.stdout.write(`\n${tables}\n`);
    showProgress(`results are in ${options.outFolder}: demo.txt, demo.json, demo.svg`);
};
