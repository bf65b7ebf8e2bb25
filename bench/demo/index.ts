/** The demo: the Ertis call graph under a slow fuelpost, first without and then with pomelovalve. */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "undici";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { type Cluster } from "../_lib/cluster";
import { renderPlot } from "../_lib/renderPlot";
import { runScenario, type TimedStep } from "../_lib/runScenario";
import { type RunSummary, type Scenario } from "../types";
import { createDemoScenario } from "./scenario";

const patchAtMs = 5_000;
const patchPollMs = 20;
const patchTimeoutMs = 8_000;

/** Where the demo finds the program and leaves its results. */
export interface DemoOptions {
    readonly distFolder: string;
    readonly outFolder: string;
    readonly seed: number;
}

const formatShare = (share: number): string => `${(share * 100).toFixed(1)}%`;

const listClassRows = (summary: RunSummary): readonly (readonly (string | number)[])[] =>
    summary.classes.map(figures => [
        summary.label,
        figures.name,
        figures.begun,
        formatShare(figures.beforeShare),
        formatShare(figures.triggerShare),
        formatShare(figures.afterShare),
        figures.p50Ms.toFixed(0),
        figures.p99Ms.toFixed(0),
    ]);

const listRunRow = (summary: RunSummary): readonly (string | number)[] => [
    summary.label,
    summary.recoveryMs === undefined ? "not in the run" : `${(summary.recoveryMs / 1_000).toFixed(1)} s`,
    summary.attemptsPerAction.toFixed(2),
    summary.upstreamRuns,
    summary.cancelledRuns,
    summary.doubleRuns,
    summary.untrueRefusals,
];

/** Renders the tables of the demo. */
export const renderDemoTables = (summaries: readonly RunSummary[]): string => {
    const classHead = ["RUN", "CLASS", "BEGUN", "WHOLE BEFORE", "IN TRIGGER", "AFTER", "P50 MS", "P99 MS"];
    const runHead = [
        "RUN",
        "RECOVERY",
        "ATTEMPTS/ACTION",
        "UPSTREAM RUNS",
        "CANCELLED RUNS",
        "DOUBLE RUNS",
        "UNTRUE REFUSALS",
    ];
    return `${renderTable(classHead, summaries.flatMap(listClassRows))}\n${
        renderTable(runHead, summaries.map(listRunRow))
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

const readVersion = async (port: number): Promise<number> => {
    const answer = await request(`http://127.0.0.1:${port}/metrics`);
    const text = await answer.body.text();
    return Number(/^pomelovalve_policy_version (\d+)$/mu.exec(text)?.[1] ?? 0);
};

/** Waits until a version is in force on all nodes; returns how long that took. */
const awaitVersion = async (cluster: Cluster, version: number): Promise<number> => {
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < patchTimeoutMs) {
        const versions = await Promise.all(cluster.ports.map(ports => readVersion(ports.control)));
        if (versions.every(found => found >= version)) {
            return performance.now() - startedAtMs;
        }
        await new Promise(resolve => setTimeout(resolve, patchPollMs));
    }
    throw new Error(`version ${version} is not in force everywhere after ${patchTimeoutMs} ms`);
};

/** Patches the policy with the command line, as an operator does, and publishes the log. */
const createPatchStep = (options: DemoOptions, showProgress: (text: string) => void): TimedStep => ({
    atMs: patchAtMs,
    run: async cluster => {
        const logFile = cluster.writeFile("ertis.log.json", cluster.policyLog);
        const patch = [{ op: "replace", path: "/services/fuelpost/reservedShare", value: 0.25 }];
        const patchFile = cluster.writeFile("patch.json", patch);
        const note = ["--author", "aida", "--reason", "more room for look-ups"];
        const args = ["policy", "patch", logFile, "--against", "1", "--patch", patchFile, ...note];
        execFileSync(`${options.distFolder}/pomelovalve`, args);
        await cluster.publish("policy", JSON.parse(readFileSync(logFile, "utf8")));
        const tookMs = await awaitVersion(cluster, 2);
        showProgress(`policy version 2 is in force on all ${cluster.ports.length} nodes after ${tookMs.toFixed(0)} ms`);
    },
});

/** Runs the demo; prints its tables and writes them with the plot. */
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
    const shared = {
        distFolder: options.distFolder,
        program: { file: `${options.distFolder}/pomelovalve`, args: [] },
        showProgress,
    };
    showProgress("without pomelovalve: plain retries at every hop");
    const without = await runScenario(scenario, {
        ...shared,
        kind: "direct",
        label: "without",
        folder: `${workFolder}/without`,
    });
    showProgress("with pomelovalve: the same load and seed");
    const withNodes = await runScenario(scenario, {
        ...shared,
        kind: "node",
        label: "pomelovalve",
        folder: `${workFolder}/pomelovalve`,
        steps: [createPatchStep(options, showProgress)],
    });
    const summaries = [without, withNodes];
    const tables = renderDemoTables(summaries);
    writeFileSync(`${options.outFolder}/demo.txt`, tables);
    writeFileSync(`${options.outFolder}/demo.json`, `${JSON.stringify(summaries, undefined, 1)}\n`);
    writeFileSync(`${options.outFolder}/demo.svg`, renderDemoPlot(summaries, scenario));
    process.stdout.write(`\n${tables}\n`);
    showProgress(`results are in ${options.outFolder}: demo.txt, demo.json, demo.svg`);
};
