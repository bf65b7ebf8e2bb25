/** Figures of a run, from the records of its callers and upstreams. */
import { type ActionRecord, type UpstreamReport } from "../../src/standins/types";
import { type ClassSummary, type GoodputPoint, type RunSummary, type Scenario } from "../types";

const binMs = 500;
const recoveredShare = 0.95;
const heldBins = 4;

/** Counts an answer that came too late to be of use as none. */
export const applyLatencyLimit = (record: ActionRecord, usefulMs: number): ActionRecord => ({
    ...record,
    ok: record.ok && record.endMs - record.startMs <= usefulMs,
});

const countShare = (records: readonly ActionRecord[]): number =>
    records.length === 0 ? 0 : records.filter(record => record.ok).length / records.length;

const selectPhase = (records: readonly ActionRecord[], fromMs: number, untilMs: number): readonly ActionRecord[] =>
    records.filter(record => record.startMs >= fromMs && record.startMs < untilMs);

const computePercentile = (sorted: readonly number[], share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Computes goodput per bin; an action counts where it began. */
const computeSeries = (records: readonly ActionRecord[], durationMs: number): readonly GoodputPoint[] => {
    const counts = Array.from({ length: Math.ceil(durationMs / binMs) }, () => 0);
    records.filter(record => record.ok).forEach(record => {
        const bin = Math.floor(record.startMs / binMs);
        if (bin < counts.length) {
            counts[bin] = counts[bin]! + 1;
        }
    });
    return counts.map((count, bin) => ({ atMs: bin * binMs, perSecond: count * 1_000 / binMs }));
};

const summarizeClass = (name: string, all: readonly ActionRecord[], scenario: Scenario): ClassSummary => {
    const records = all.filter(record => record.className === name);
    const durations = records.filter(record => record.ok).map(record => record.endMs - record.startMs).sort((a, b) =>
        a - b
    );
    const { warmupEndMs, triggerStartMs, triggerEndMs, durationMs } = scenario;
    return {
        name,
        begun: records.length,
        whole: records.filter(record => record.ok).length,
        beforeShare: countShare(selectPhase(records, warmupEndMs, triggerStartMs)),
        triggerShare: countShare(selectPhase(records, triggerStartMs, triggerEndMs)),
        afterShare: countShare(selectPhase(records, triggerEndMs, durationMs)),
        p50Ms: computePercentile(durations, 0.5),
        p99Ms: computePercentile(durations, 0.99),
        series: computeSeries(records, durationMs),
    };
};

/** Share of whole requests among those begun in each bin, 1 where none began. */
const computeBinShares = (records: readonly ActionRecord[], durationMs: number): readonly number[] => {
    const binCount = Math.floor(durationMs / binMs);
    const bins = [...Array(binCount).keys()].map(bin => selectPhase(records, bin * binMs, (bin + 1) * binMs));
    return bins.map(bin => bin.length === 0 ? 1 : countShare(bin));
};

/** Computes when the share of whole requests is back at 95% of before and stays there for two seconds. */
export const computeRecoveryMs = (
    records: readonly ActionRecord[],
    scenario: Pick<Scenario, "warmupEndMs" | "triggerStartMs" | "triggerEndMs" | "durationMs">,
): number | undefined => {
    const { warmupEndMs, triggerStartMs, triggerEndMs, durationMs } = scenario;
    const wanted = countShare(selectPhase(records, warmupEndMs, triggerStartMs)) * recoveredShare;
    const shares = computeBinShares(records, durationMs);
    const firstBin = Math.floor(triggerEndMs / binMs);
    const candidates = [...shares.keys()].filter(bin => bin >= firstBin && bin + heldBins <= shares.length);
    const recovered = candidates.find(bin => shares.slice(bin, bin + heldBins).every(share => share >= wanted));
    return recovered === undefined ? undefined : Math.max(0, recovered * binMs - triggerEndMs);
};

const countDoubleRuns = (reports: readonly UpstreamReport[]): number => {
    const counts = new Map<string, number>();
    reports.flatMap(report => Object.entries(report.runsByKey)).forEach(([key, runs]) =>
        counts.set(key, (counts.get(key) ?? 0) + runs)
    );
    return [...counts.values()].filter(runs => runs > 1).length;
};

const countUntrueRefusals = (records: readonly ActionRecord[], reports: readonly UpstreamReport[]): number => {
    const run = new Set(reports.flatMap(report => Object.keys(report.runsByKey)));
    return records.filter(record => record.told === "not-run" && record.key !== undefined && run.has(record.key))
        .length;
};

/** Summarizes one run. */
export const summarizeRun = (
    label: string,
    records: readonly ActionRecord[],
    reports: readonly UpstreamReport[],
    scenario: Scenario,
): RunSummary => {
    const names = scenario.classes.map(loadClass => loadClass.name);
    const attempts = records.reduce((sum, record) => sum + record.attempts, 0);
    return {
        label,
        classes: names.map(name => summarizeClass(name, records, scenario)),
        total: computeSeries(records, scenario.durationMs),
        recoveryMs: computeRecoveryMs(records, scenario),
        attemptsPerAction: attempts / Math.max(1, records.length),
        upstreamRuns: reports.reduce((sum, report) => sum + report.runs, 0),
        cancelledRuns: reports.reduce((sum, report) => sum + report.cancelledRuns, 0),
        doubleRuns: countDoubleRuns(reports),
        untrueRefusals: countUntrueRefusals(records, reports),
    };
};
