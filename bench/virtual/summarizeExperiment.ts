/** Summarizes an experiment from the events of its run. */
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
    const successful = records.filter(record => record.ok);
    return {
        name,
        before: computeRate(successful, warmupEndMs, triggerStartMs),
        during: computeRate(successful, triggerStartMs, triggerEndMs),
        after: computeRate(successful, triggerEndMs, durationMs),
        offeredDuring: computeRate(records, triggerStartMs, triggerEndMs),
        p99Ms: computeP99(successful),
    };
};

const countRunsByKey = (observations: RunObservations): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    observations.runs.filter(run => run.key !== undefined && !run.route.idempotent).forEach(run =>
        counts.set(run.key!, (counts.get(run.key!) ?? 0) + 1)
    );
    return counts;
};

const computeWastedShare = (observations: RunObservations): number => {
    const successfulActions = new Set(observations.records.filter(record => record.ok).map(record => record.action));
    const wasted = observations.runs.filter(run => !successfulActions.has(run.action)).length;
    return wasted / Math.max(1, observations.runs.length);
};

/** Summarizes a run of an experiment under one kind of control. */
export const summarizeExperiment = (
    experiment: Experiment,
    control: ControlKind,
    observations: RunObservations,
): ExperimentResult => {
    const runsByKey = countRunsByKey(observations);
    const classNames = experiment.classes.map(loadClass => loadClass.name);
    const isUntrueRefusal = (record: ActionRecord): boolean =>
        record.outcome === "not-run" && record.key !== undefined && runsByKey.has(record.key);
    return {
        control,
        classes: classNames.map(name => summarizeClass(name, observations.records, experiment)),
        recoveryMs: computeRecoveryMs(observations.records, experiment),
        retriesPerCall: observations.retries.count / Math.max(1, observations.runs.length),
        wastedShare: computeWastedShare(observations),
        doubleRuns: [...runsByKey.values()].filter(runs => runs > 1).length,
        untrueRefusals: observations.records.filter(isUntrueRefusal).length,
        unanswered: observations.startedActions.count - observations.records.length,
    };
};
