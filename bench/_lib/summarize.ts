/** Summarizes a run from the records of its callers and the reports of its upstreams. */
import { type ActionRecord, type UpstreamReport } from "../../src/standins/types";
import { type ClassSummary, type GoodputPoint, type RunSummary, type Scenario } from "../types";

const binMs = 500;
const recoveryThreshold = 0.95;
/** Number of consecutive bins at or above the threshold that count as recovered. */
const recoveryBinCount = 4;

/** Marks an action that took longer than `maxUsefulLatencyMs` as failed. */
export const applyLatencyLimit = (record: ActionRecord, maxUsefulLatencyMs: number): ActionRecord => ({
    ...record,
    ok: record.ok && record.endMs - record.startMs <= maxUsefulLatencyMs,
});

const computeSuccessShare = (records: readonly ActionRecord[]): number =>
    records.length === 0 ? 0 : records.filter(record => record.ok).length / records.length;

const selectPhase = (records: readonly ActionRecord[], fromMs: number, untilMs: number): readonly ActionRecord[] =>
    records.filter(record => record.startMs >= fromMs && record.startMs < untilMs);

const computePercentile = (sorted: readonly number[], share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Computes goodput per bin. An action counts in the bin in which it began. */
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
        beforeShare: computeSuccessShare(selectPhase(records, warmupEndMs, triggerStartMs)),
        triggerShare: computeSuccessShare(selectPhase(records, triggerStartMs, triggerEndMs)),
        afterShare: computeSuccessShare(selectPhase(records, triggerEndMs, durationMs)),
        p50Ms: computePercentile(durations, 0.5),
        p99Ms: computePercentile(durations, 0.99),
        series: computeSeries(records, durationMs),
    };
};

/** Computes the share of successful actions among those begun in each bin; 1 if none began. */
const computeBinSuccessShares = (records: readonly ActionRecord[], durationMs: number): readonly number[] => {
    const binCount = Math.floor(durationMs / binMs);
    const bins = [...Array(binCount).keys()].map(bin => selectPhase(records, bin * binMs, (bin + 1) * binMs));
    return bins.map(bin => bin.length === 0 ? 1 : computeSuccessShare(bin));
};

/**
 * Computes the time from the end of the trigger until the share of successful actions is back at 95% of its level
 * before the trigger and stays there for 2 s. Returns undefined if that does not happen during the run.
 */
export const computeRecoveryMs = (
    records: readonly ActionRecord[],
    scenario: Pick<Scenario, "warmupEndMs" | "triggerStartMs" | "triggerEndMs" | "durationMs">,
): number | undefined => {
    const { warmupEndMs, triggerStartMs, triggerEndMs, durationMs } = scenario;
    const requiredShare = computeSuccessShare(selectPhase(records, warmupEndMs, triggerStartMs)) * recoveryThreshold;
    const shares = computeBinSuccessShares(records, durationMs);
    const firstBin = Math.floor(triggerEndMs / binMs);
    const candidates = [...shares.keys()].filter(bin => bin >= firstBin && bin + recoveryBinCount <= shares.length);
    const recovered = candidates.find(bin =>
        shares.slice(bin, bin + recoveryBinCount).every(share => share >= requiredShare)
    );
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
    const executedKeys = new Set(reports.flatMap(report => Object.keys(report.runsByKey)));
    return records.filter(record =>
        record.outcome === "not-run" && record.key !== undefined && executedKeys.has(record.key)
    )
        .length;
};

/** Summarizes one run under a label. */
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
