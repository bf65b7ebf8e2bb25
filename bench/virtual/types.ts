/** Types of experiments on a virtual clock. */
import { type LimitLaw } from "../../src/decisions/limitLaws";
import { type Policy } from "../../src/policy/types";
import { type EntryClass, type UpstreamRoutes } from "../scenarios/ertis";

/** How the call graph is controlled. */
export type ControlKind = "none" | "fixed" | "pomelovalve";

/** What goes wrong, from the trigger's start to its end. */
export interface Trigger {
    readonly name: string;
    /** Factors on the work of a service's upstreams. */
    readonly workFactors: Readonly<Record<string, number>>;
    /** Factor on the callers' rates. */
    readonly rateFactor: number;
}

/** One experiment. */
export interface Experiment {
    readonly graph: string;
    readonly policy: Policy;
    readonly routes: UpstreamRoutes;
    readonly classes: readonly EntryClass[];
    readonly bottleneck: string;
    readonly attemptTimeoutMs: number;
    readonly maxAttempts: number;
    /** Time within which an action's answer is of use. */
    readonly maxUsefulLatencyMs: number;
    readonly seed: number;
    readonly trigger: Trigger;
    /** Law of the concurrency limits; the one in force by default. */
    readonly limitLaw?: LimitLaw;
    /** Slots that a service's upstreams really have, where the policy is wrong. */
    readonly realSlots?: Readonly<Record<string, number>>;
    /** Waiting requests above which a service's upstreams shed. */
    readonly maxQueuedByService?: Readonly<Record<string, number>>;
    readonly warmupEndMs: number;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    readonly durationMs: number;
}

/** Figures of one run of an experiment. */
export interface ExperimentResult {
    readonly control: ControlKind;
    /** Whole requests per second before, during and after the trigger, by class. */
    readonly classes: readonly {
        readonly name: string;
        readonly before: number;
        readonly during: number;
        readonly after: number;
        readonly offeredDuring: number;
        readonly p99Ms: number;
    }[];
    readonly recoveryMs: number | undefined;
    readonly retriesPerCall: number;
    /** Runs of actions that came to no whole answer, as a share of all runs. */
    readonly wastedShare: number;
    readonly doubleRuns: number;
    readonly untrueRefusals: number;
    /** Actions that never got a final answer. */
    readonly unanswered: number;
}
