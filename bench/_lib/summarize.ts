/** Summarizes a run from the records of its callers and the reports of its upstreams. */
import { type ActionRecord, type UpstreamReport } from "../../src/standins/types";
import { type ClassSummary, type GoodputPoint, type RunSummary, type Scenario } from "../types";

/** Width of the time bins in which goodput and success shares are computed. */
const binMs = 500;
/** Fraction of the success share before the trigger that has to be reached again after it. */
const recoveryThreshold = 0.95;
/** Number of consecutive bins that have to reach the threshold. */
const recoveryBinCount = 4;

/** Returns the record, marked as failed if the action took longer than `maxUsefulLatencyMs`. */
export const applyLatencyLimit = (record: ActionRecord, maxUsefulLatencyMs: number): ActionRecord => ({
    ...record,
    ok: record.ok && record.endMs - record.startMs <= maxUsefulLatencyMs,
});

const computeSuccessShare = (records: readonly ActionRecord[]): number =>
    records.length === 0 ? 0 : records.filter(record => record.ok).length / records.length;

/** Selects the actions that began in a period. */
const selectPeriod = (records: readonly ActionRecord[], fromMs: number, untilMs: number): readonly ActionRecord[] =>
    records.filter(record => record.startMs >= fromMs && record.startMs < untilMs);

const computeQuantile = (sorted: readonly number[], quantile: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;

/** Computes the goodput in each bin. A successful action counts in the bin in which it began. */
const computeGoodput = (records: readonly ActionRecord[], durationMs: number): readonly GoodputPoint[] => {
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
    const durationsMs = records.filter(record => record.ok).map(record => record.endMs - record.startMs).sort((a, b) =>
        a - b
    );
    const { warmupEndMs, triggerStartMs, triggerEndMs, durationMs } = scenario;
    return {
        name,
        begun: records.length,
        whole: records.filter(record => record.ok).length,
        beforeShare: computeSuccessShare(selectPeriod(records, warmupEndMs, triggerStartMs)),
        triggerShare: computeSuccessShare(selectPeriod(records, triggerStartMs, triggerEndMs)),
        afterShare: computeSuccessShare(selectPeriod(records, triggerEndMs, durationMs)),
        p50Ms: computeQuantile(durationsMs, 0.5),
        p99Ms: computeQuantile(durationsMs, 0.99),
        series: computeGoodput(records, durationMs),
    };
};

/** Computes the share of the actions begun in each bin that succeeded. The share of a bin without actions is 1. */
const computeBinSuccessShares = (records: readonly ActionRecord[], durationMs: number): readonly number[] => {
    const binCount = Math.floor(durationMs / binMs);
    const bins = [...Array(binCount).keys()].map(bin => selectPeriod(records, bin * binMs, (bin + 1) * binMs));
    return bins.map(bin => bin.length === 0 ? 1 : computeSuccessShare(bin));
};

/**
 * Computes the time from the end of the trigger until the share of successful actions is at least 95% of its level
 * before the trigger and remains so for 2 s. Returns undefined if that does not happen during the load.
 */
export const computeRecoveryMs = (
    records: readonly ActionRecord[],
    scenario: Pick<Scenario, "warmupEndMs" | "triggerStartMs" | "triggerEndMs" | "durationMs">,
): number | undefined => {
    const { warmupEndMs, triggerStartMs, triggerEndMs, durationMs } = scenario;
    const requiredShare = computeSuccessShare(selectPeriod(records, warmupEndMs, triggerStartMs)) * recoveryThreshold;
    const shares = computeBinSuccessShares(records, durationMs);
    const firstBin = Math.floor(triggerEndMs / binMs);
    const candidateBins = [...shares.keys()].filter(bin => bin >= firstBin && bin + recoveryBinCount <= shares.length);
    const recoveredBin = candidateBins.find(bin =>
        shares.slice(bin, bin + recoveryBinCount).every(share => share >= requiredShare)
    );
    return recoveredBin === undefined ? undefined : Math.max(0, recoveredBin * binMs - triggerEndMs);
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

/** Summarizes a run. Expects records to which `applyLatencyLimit` has been applied. */
export const summarizeRun = (
    label: string,
    records: readonly ActionRecord[],
    reports: readonly UpstreamReport[],
    scenario: Scenario,
): RunSummary => {
    const classNames = scenario.classes.map(loadClass => loadClass.name);
    const attempts = records.reduce((sum, record) => sum + record.attempts, 0);
    return {
        label,
        classes: classNames.map(name => summarizeClass(name, records, scenario)),
        total: computeGoodput(records, scenario.durationMs),
        recoveryMs: computeRecoveryMs(records, scenario),
        attemptsPerAction: attempts / Math.max(1, records.length),
        upstreamRuns: reports.reduce((sum, report) => sum + report.runs, 0),
        cancelledRuns: reports.reduce((sum, report) => sum + report.cancelledRuns, 0),
        doubleRuns: countDoubleRuns(reports),
        untrueRefusals: countUntrueRefusals(records, reports),
    };
};
