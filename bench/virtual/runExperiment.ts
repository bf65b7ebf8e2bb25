/** Runs one experiment on a virtual clock. */
import { type ActionRecord } from "../../src/standins/types";
import { type FakeUpstream, type UpstreamRun } from "../../src/testing/fakeUpstream";
import { VirtualBaseline } from "../../src/testing/virtualBaseline";
import { type CallTarget, VirtualCallers } from "../../src/testing/virtualCallers";
import { VirtualClock } from "../../src/testing/virtualClock";
import { VirtualGraph } from "../../src/testing/virtualGraph";
import { applyLatencyLimit } from "../_lib/summarize";
import { summarizeExperiment } from "./summarizeExperiment";
import { type ControlKind, type Experiment, type ExperimentResult } from "./types";

const maxBaselineAttempts = 3;
const baselineAttemptTimeoutMs = 1_000;
/** Queue limit of the fixed control, as a multiple of the slots of the bottleneck service. */
const fixedQueueRatio = 1;
/** Time after the end of the load in which the remaining actions complete. */
const drainMs = 30_000;
/** Delay of the load, so that keys are newer than the start of the nodes by more than the assumed clock skew. */
const loadDelayMs = 3_000;

/** Events of a run, collected for its summary. */
export interface RunObservations {
    readonly records: ActionRecord[];
    readonly runs: UpstreamRun[];
    readonly startedActions: { count: number; };
    readonly retries: { count: number; };
}

interface ExperimentTarget extends CallTarget {
    getUpstream(endpoint: string): FakeUpstream;
}

const createTarget = (
    experiment: Experiment,
    control: ControlKind,
    clock: VirtualClock,
    observations: RunObservations,
): ExperimentTarget => {
    const { policy, routes, seed, bottleneckService: bottleneck } = experiment;
    const sharedOptions = {
        clock,
        policy,
        upstreamRoutes: routes,
        seed,
        recordRun: (run: UpstreamRun) => observations.runs.push(run),
    };
    const recordRetry = (): void => {
        observations.retries.count += 1;
    };
    if (control === "pomelovalve") {
        const { limitAlgorithm, realSlots, maxQueuedByService = {} } = experiment;
        const graph = new VirtualGraph({ ...sharedOptions, recordRetry, limitAlgorithm, realSlots });
        Object.entries(maxQueuedByService).forEach(([service, maxQueued]) =>
            policy.services[service]!.endpoints.forEach(endpoint =>
                graph.getEndpoint(endpoint.name).upstream.updateShedding(maxQueued)
            )
        );
        return {
            clock,
            send: (endpoint, request) => graph.send(endpoint, request),
            getUpstream: endpoint => graph.getEndpoint(endpoint).upstream,
        };
    }
    const maxQueued = control === "fixed" ? policy.services[bottleneck]!.slots * fixedQueueRatio : undefined;
    return new VirtualBaseline({
        ...sharedOptions,
        recordRetry,
        maxAttempts: maxBaselineAttempts,
        attemptTimeoutMs: baselineAttemptTimeoutMs,
        maxQueued,
    });
};

const scheduleTrigger = (experiment: Experiment, target: ExperimentTarget): void => {
    const { trigger, policy, triggerStartMs, triggerEndMs } = experiment;
    const updateWorkFactors = (computeFactor: (factor: number) => number): void =>
        Object.entries(trigger.workFactors).forEach(([service, factor]) =>
            policy.services[service]!.endpoints.forEach(endpoint =>
                target.getUpstream(endpoint.name).updateWorkFactor(computeFactor(factor))
            )
        );
    target.clock.schedule(loadDelayMs + triggerStartMs, () => updateWorkFactors(factor => factor));
    target.clock.schedule(loadDelayMs + triggerEndMs, () => updateWorkFactors(() => 1));
};

/** Runs an experiment under one kind of control. The same seed gives the same load. */
export const runExperiment = (experiment: Experiment, control: ControlKind): ExperimentResult => {
    const clock = new VirtualClock();
    const observations: RunObservations = {
        records: [],
        runs: [],
        startedActions: { count: 0 },
        retries: { count: 0 },
    };
    const target = createTarget(experiment, control, clock, observations);
    const { policy, triggerStartMs, triggerEndMs, durationMs, trigger } = experiment;
    const endpointsByClass = new Map(
        experiment.classes.map(({ name, entry }) => [
            name,
            policy.services[entry]!.endpoints.map(endpoint => endpoint.name),
        ]),
    );
    const isDuringTrigger = (atMs: number): boolean =>
        atMs - loadDelayMs >= triggerStartMs && atMs - loadDelayMs < triggerEndMs;
    clock.runUntil(loadDelayMs);
    scheduleTrigger(
        { ...experiment, triggerStartMs: triggerStartMs - loadDelayMs, triggerEndMs: triggerEndMs - loadDelayMs },
        target,
    );
    new VirtualCallers(target, {
        seed: experiment.seed,
        classes: experiment.classes,
        listEndpoints: ({ name }) => endpointsByClass.get(name)!,
        durationMs: loadDelayMs + durationMs,
        attemptTimeoutMs: experiment.attemptTimeoutMs,
        maxAttempts: experiment.maxAttempts,
        computeRateFactor: atMs => isDuringTrigger(atMs) ? trigger.rateFactor : 1,
        recordStart: () => {
            observations.startedActions.count += 1;
        },
        recordAction: record =>
            observations.records.push(applyLatencyLimit({
                ...record,
                startMs: record.startMs - loadDelayMs,
                endMs: record.endMs - loadDelayMs,
            }, experiment.maxUsefulLatencyMs)),
    }).start();
    clock.runUntil(loadDelayMs + durationMs + drainMs);
    return summarizeExperiment(experiment, control, observations);
};
