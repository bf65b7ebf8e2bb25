/** Summarizes an experiment from the observations of its run. */
import { type ActionRecord } from "../../src/standins/types";
import { computeRecoveryMs } from "../_lib/summarize";
import { type RunObservations } from "./runExperiment";
import { type ControlKind, type Experiment, type ExperimentResult } from "./types";

const p99Quantile = 0.99;

/** Computes how many of the actions began in a period, per second. */
const computeRate = (records: readonly ActionRecord[], fromMs: number, untilMs: number): number =>
    records.filter(record => record.startMs >= fromMs && record.startMs < untilMs).length * 1_000 / (untilMs - fromMs);

const computeP99 = (records: readonly ActionRecord[]): number => {
    const sortedMs = records.map(record => record.endMs - record.startMs).sort((a, b) => a - b);
    return sortedMs[Math.floor(sortedMs.length * p99Quantile)] ?? 0;
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

/** Counts the runs of non-idempotent requests by idempotency key. */
const countRunsByKey = (observations: RunObservations): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    observations.upstreamRuns.filter(run => run.key !== undefined && !run.route.idempotent).forEach(run =>
        counts.set(run.key!, (counts.get(run.key!) ?? 0) + 1)
    );
    return counts;
};

const computeWastedShare = (observations: RunObservations): number => {
    const successfulActions = new Set(
        observations.actionRecords.filter(record => record.ok).map(record => record.action),
    );
    const wastedRuns = observations.upstreamRuns.filter(run => !successfulActions.has(run.action)).length;
    return wastedRuns / Math.max(1, observations.upstreamRuns.length);
};

/** Computes the results of an experiment from the observations of its run under one kind of control. */
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
        classes: classNames.map(name => summarizeClass(name, observations.actionRecords, experiment)),
        recoveryMs: computeRecoveryMs(observations.actionRecords, experiment),
        retriesPerCall: observations.retries.count / Math.max(1, observations.upstreamRuns.length),
        wastedShare: computeWastedShare(observations),
        doubleRuns: [...runsByKey.values()].filter(runs => runs > 1).length,
        untrueRefusals: observations.actionRecords.filter(isUntrueRefusal).length,
        unanswered: observations.startedActions.count - observations.actionRecords.length,
    };
};
