/** Types of experiments on a virtual clock. */
import { type LimitAlgorithm } from "../../src/decisions/limitAlgorithms";
import { type Policy } from "../../src/policy/types";
import { type EntryClass, type UpstreamRoutes } from "../scenarios/ertis";

/** Overload control of a run: none, a fixed queue limit at all upstreams, or pomelovalve nodes. */
export type ControlKind = "none" | "fixed" | "pomelovalve";

/** The fault or load change that an experiment applies from `triggerStartMs` to `triggerEndMs`. */
export interface Trigger {
    readonly name: string;
    /** Factors on the work time of upstreams, by service. */
    readonly workFactors: Readonly<Record<string, number>>;
    /** Factor on the request rates of the callers. */
    readonly rateFactor: number;
}

/** A call graph with its load and trigger. Times count from the start of the load. */
export interface Experiment {
    readonly graphName: string;
    readonly policy: Policy;
    readonly routes: UpstreamRoutes;
    readonly classes: readonly EntryClass[];
    /** Service whose slots set the queue limit of all upstreams under the fixed control. */
    readonly bottleneckService: string;
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of an action. */
    readonly maxAttempts: number;
    /** Maximum duration of an action for its answer to count as goodput, in milliseconds. */
    readonly maxUsefulLatencyMs: number;
    readonly seed: number;
    readonly trigger: Trigger;
    /** Algorithm of the concurrency limits; the algorithm of the product by default. */
    readonly limitAlgorithm?: LimitAlgorithm;
    /** Actual slots of each upstream of a service, where they differ from the policy. */
    readonly realSlots?: Readonly<Record<string, number>>;
    /** Queue length above which the upstreams of a service shed requests. */
    readonly maxQueuedByService?: Readonly<Record<string, number>>;
    /** End of the warm-up; the goodput before the trigger is measured from here to the start of the trigger. */
    readonly warmupEndMs: number;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    readonly durationMs: number;
}

/** Results of one run of an experiment. */
export interface ExperimentResult {
    readonly control: ControlKind;
    /** Successful actions per second before, during and after the trigger, by class. */
    readonly classes: readonly {
        readonly name: string;
        readonly before: number;
        readonly during: number;
        readonly after: number;
        /** Actions that callers began per second during the trigger. */
        readonly offeredDuring: number;
        readonly p99Ms: number;
    }[];
    /** Time from the end of the trigger until goodput stays at 95% of its level before; undefined if it never does. */
    readonly recoveryMs: number | undefined;
    readonly retriesPerCall: number;
    /** Share of the upstream runs that belong to actions without a successful answer. */
    readonly wastedShare: number;
    /** Number of keys whose non-idempotent request ran more than once. */
    readonly doubleRuns: number;
    /** Number of actions that were answered as not run although their request had run. */
    readonly untrueRefusals: number;
    /** Number of actions without a final answer. */
    readonly unanswered: number;
}
