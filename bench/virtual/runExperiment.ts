/** Runs an experiment on a virtual clock and collects what its summary needs. */
import { type ActionRecord } from "../../src/standins/types";
import { type FakeUpstream, type UpstreamRun } from "../../src/testing/fakeUpstream";
import { VirtualBaseline } from "../../src/testing/virtualBaseline";
import { VirtualCallers, type VirtualCallGraph } from "../../src/testing/virtualCallers";
import { VirtualClock } from "../../src/testing/virtualClock";
import { VirtualGraph } from "../../src/testing/virtualGraph";
import { applyLatencyLimit } from "../_lib/summarize";
import { summarizeExperiment } from "./summarizeExperiment";
import { type ControlKind, type Experiment, type ExperimentResult } from "./types";

/** Maximum number of attempts of a nested call in a graph without nodes. */
const maxBaselineAttempts = 3;
/** Timeout of one attempt of a nested call in a graph without nodes. */
const baselineAttemptTimeoutMs = 1_000;
/** Ratio of the queue limit under the fixed control to the slots of the bottleneck service. */
const fixedQueueRatio = 1;
/** Time after the end of the load in which actions in progress can complete. */
const drainMs = 30_000;
/**
 * Time from the start of the nodes to the start of the load. It exceeds `keyClockMarginMs`, so that nodes judge no key
 * to be older than their start.
 */
const loadDelayMs = 3_000;

/** Actions, upstream runs and retries observed during a run. */
export interface RunObservations {
    readonly actionRecords: ActionRecord[];
    readonly upstreamRuns: UpstreamRun[];
    readonly startedActions: { count: number; };
    readonly retries: { count: number; };
}

interface ExperimentGraph extends VirtualCallGraph {
    getUpstream(endpoint: string): FakeUpstream;
}

const createGraph = (
    experiment: Experiment,
    control: ControlKind,
    clock: VirtualClock,
    observations: RunObservations,
): ExperimentGraph => {
    const { policy, routes, seed, bottleneckService } = experiment;
    const sharedOptions = {
        clock,
        policy,
        upstreamRoutes: routes,
        seed,
        recordRun: (run: UpstreamRun) => observations.upstreamRuns.push(run),
    };
    const recordRetry = (): void => {
        observations.retries.count += 1;
    };
    if (control === "pomelovalve") {
        const { limitAlgorithm, realSlots, maxQueuedByService = {} } = experiment;
        const virtualGraph = new VirtualGraph({ ...sharedOptions, recordRetry, limitAlgorithm, realSlots });
        Object.entries(maxQueuedByService).forEach(([service, maxQueued]) =>
            policy.services[service]!.endpoints.forEach(endpoint =>
                virtualGraph.getEndpoint(endpoint.name).upstream.updateShedding(maxQueued)
            )
        );
        return {
            clock,
            send: (endpoint, request) => virtualGraph.send(endpoint, request),
            getUpstream: endpoint => virtualGraph.getEndpoint(endpoint).upstream,
        };
    }
    const maxQueued = control === "fixed" ? policy.services[bottleneckService]!.slots * fixedQueueRatio : undefined;
    return new VirtualBaseline({
        ...sharedOptions,
        recordRetry,
        maxAttempts: maxBaselineAttempts,
        attemptTimeoutMs: baselineAttemptTimeoutMs,
        maxQueued,
    });
};

/** Schedules the changes of work times. The callers apply the rate factor of the trigger. */
const scheduleTrigger = (experiment: Experiment, graph: ExperimentGraph): void => {
    const { trigger, policy, triggerStartMs, triggerEndMs } = experiment;
    const updateWorkFactors = (computeFactor: (factor: number) => number): void =>
        Object.entries(trigger.workFactors).forEach(([service, factor]) =>
            policy.services[service]!.endpoints.forEach(endpoint =>
                graph.getUpstream(endpoint.name).updateWorkFactor(computeFactor(factor))
            )
        );
    graph.clock.schedule(loadDelayMs + triggerStartMs, () => updateWorkFactors(factor => factor));
    graph.clock.schedule(loadDelayMs + triggerEndMs, () => updateWorkFactors(() => 1));
};

/** Runs an experiment under one kind of control. The same seed gives the same load under each kind. */
export const runExperiment = (experiment: Experiment, control: ControlKind): ExperimentResult => {
    const clock = new VirtualClock();
    const observations: RunObservations = {
        actionRecords: [],
        upstreamRuns: [],
        startedActions: { count: 0 },
        retries: { count: 0 },
    };
    const graph = createGraph(experiment, control, clock, observations);
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
        graph,
    );
    new VirtualCallers(graph, {
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
            observations.actionRecords.push(applyLatencyLimit({
                ...record,
                startMs: record.startMs - loadDelayMs,
                endMs: record.endMs - loadDelayMs,
            }, experiment.maxUsefulLatencyMs)),
    }).start();
    clock.runUntil(loadDelayMs + durationMs + drainMs);
    return summarizeExperiment(experiment, control, observations);
};
