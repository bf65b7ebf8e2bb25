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

const baselineTries = 3;
const baselineTryTimeoutMs = 1_000;
const fixedQueueShare = 1;
const settlingMs = 30_000;
/** Time before the load, so that keys are newer than the nodes by more than the margin between clocks. */
const leadMs = 3_000;

/** What was seen in a run. */
export interface RunObservations {
    readonly records: ActionRecord[];
    readonly runs: UpstreamRun[];
    readonly started: { count: number; };
    readonly retries: { count: number; };
}

interface Target extends CallTarget {
    getUpstream(endpoint: string): FakeUpstream;
}

const createTarget = (
    experiment: Experiment,
    control: ControlKind,
    clock: VirtualClock,
    seen: RunObservations,
): Target => {
    const { policy, routes, seed, bottleneck } = experiment;
    const shared = {
        clock,
        policy,
        upstreamRoutes: routes,
        seed,
        recordRun: (run: UpstreamRun) => seen.runs.push(run),
    };
    const recordRetry = (): void => {
        seen.retries.count += 1;
    };
    if (control === "pomelovalve") {
        const { limitLaw, realSlots, maxQueuedByService: sheddingAbove = {} } = experiment;
        const graph = new VirtualGraph({ ...shared, recordRetry, limitLaw, realSlots });
        Object.entries(sheddingAbove).forEach(([service, maxQueued]) =>
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
    const maxQueued = control === "fixed" ? policy.services[bottleneck]!.slots * fixedQueueShare : undefined;
    return new VirtualBaseline({
        ...shared,
        recordRetry,
        tries: baselineTries,
        tryTimeoutMs: baselineTryTimeoutMs,
        maxQueued,
    });
};

const planTrigger = (experiment: Experiment, target: Target): void => {
    const { trigger, policy, triggerStartMs, triggerEndMs } = experiment;
    const updateAll = (computeFactor: (factor: number) => number): void =>
        Object.entries(trigger.workFactors).forEach(([service, factor]) =>
            policy.services[service]!.endpoints.forEach(endpoint =>
                target.getUpstream(endpoint.name).updateWorkFactor(computeFactor(factor))
            )
        );
    target.clock.schedule(leadMs + triggerStartMs, () => updateAll(factor => factor));
    target.clock.schedule(leadMs + triggerEndMs, () => updateAll(() => 1));
};

/** Runs an experiment under one kind of control; the same seed gives the same load. */
export const runExperiment = (experiment: Experiment, control: ControlKind): ExperimentResult => {
    const clock = new VirtualClock();
    const seen: RunObservations = { records: [], runs: [], started: { count: 0 }, retries: { count: 0 } };
    const target = createTarget(experiment, control, clock, seen);
    const { policy, triggerStartMs, triggerEndMs, durationMs, trigger } = experiment;
    const entries = new Map(
        experiment.classes.map(({ name, entry }) => [
            name,
            policy.services[entry]!.endpoints.map(endpoint => endpoint.name),
        ]),
    );
    const isTriggered = (atMs: number): boolean => atMs - leadMs >= triggerStartMs && atMs - leadMs < triggerEndMs;
    clock.runUntil(leadMs);
    planTrigger(
        { ...experiment, triggerStartMs: triggerStartMs - leadMs, triggerEndMs: triggerEndMs - leadMs },
        target,
    );
    new VirtualCallers(target, {
        seed: experiment.seed,
        classes: experiment.classes,
        listEntries: ({ name }) => entries.get(name)!,
        durationMs: leadMs + durationMs,
        attemptTimeoutMs: experiment.attemptTimeoutMs,
        attempts: experiment.maxAttempts,
        computeSurge: atMs => isTriggered(atMs) ? trigger.rateFactor : 1,
        recordStart: () => {
            seen.started.count += 1;
        },
        record: record =>
            seen.records.push(applyLatencyLimit({
                ...record,
                startMs: record.startMs - leadMs,
                endMs: record.endMs - leadMs,
            }, experiment.maxUsefulLatencyMs)),
    }).start();
    clock.runUntil(leadMs + durationMs + settlingMs);
    return summarizeExperiment(experiment, control, seen);
};
