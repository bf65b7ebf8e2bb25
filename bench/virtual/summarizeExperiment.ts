/** Figures of an experiment, from what was seen in its run. */
import { type ActionRecord } from "../../src/standins/types";
import { computeRecoveryMs } from "../_lib/summarize";
import { type RunObservations } from "./runExperiment";
import { type ControlKind, type Experiment, type ExperimentResult } from "./types";

const percentile = 0.99;

const computeRate = (records: readonly ActionRecord[], fromMs: number, untilMs: number): number =>
    records.filter(record => record.startMs >= fromMs && record.startMs < untilMs).length * 1_000 / (untilMs - fromMs);

const computeP99 = (records: readonly ActionRecord[]): number => {
    const sorted = records.map(record => record.endMs - record.startMs).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * percentile)] ?? 0;
};

const summarizeClass = (name: string, all: readonly ActionRecord[], experiment: Experiment) => {
    const { warmupEndMs, triggerStartMs, triggerEndMs, durationMs } = experiment;
    const records = all.filter(record => record.className === name);
    const whole = records.filter(record => record.ok);
    return {
        name,
        before: computeRate(whole, warmupEndMs, triggerStartMs),
        during: computeRate(whole, triggerStartMs, triggerEndMs),
        after: computeRate(whole, triggerEndMs, durationMs),
        offeredDuring: computeRate(records, triggerStartMs, triggerEndMs),
        p99Ms: computeP99(whole),
    };
};

const countByKey = (seen: RunObservations): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    seen.runs.filter(run => run.key !== undefined && !run.route.idempotent).forEach(run =>
        counts.set(run.key!, (counts.get(run.key!) ?? 0) + 1)
    );
    return counts;
};

const computeWastedShare = (seen: RunObservations): number => {
    const wholeActions = new Set(seen.records.filter(record => record.ok).map(record => record.action));
    const wasted = seen.runs.filter(run => !wholeActions.has(run.action)).length;
    return wasted / Math.max(1, seen.runs.length);
};

/** Summarizes a run. */
export const summarizeExperiment = (
    experiment: Experiment,
    control: ControlKind,
    seen: RunObservations,
): ExperimentResult => {
    const runsByKey = countByKey(seen);
    const names = experiment.classes.map(loadClass => loadClass.name);
    const isUntrue = (record: ActionRecord): boolean =>
        record.told === "not-run" && record.key !== undefined && runsByKey.has(record.key);
    return {
        control,
        classes: names.map(name => summarizeClass(name, seen.records, experiment)),
        recoveryMs: computeRecoveryMs(seen.records, experiment),
        retriesPerCall: seen.retries.count / Math.max(1, seen.runs.length),
        wastedShare: computeWastedShare(seen),
        doubleRuns: [...runsByKey.values()].filter(runs => runs > 1).length,
        untrueRefusals: seen.records.filter(isUntrue).length,
        unanswered: seen.started.count - seen.records.length,
    };
};
