/** Types of the experiments on a virtual clock. */
import { type LimitAlgorithm } from "../../src/decisions/limitAlgorithms";
import { type Policy } from "../../src/policy/types";
import { type EntryClass, type UpstreamRoutes } from "../scenarios/ertis";

/** Overload control in a run: none, a fixed queue limit at all upstreams, or pomelovalve nodes. */
export type ControlKind = "none" | "fixed" | "pomelovalve";

/** The fault or load change that an experiment applies from `triggerStartMs` to `triggerEndMs`. */
export interface Trigger {
    readonly name: string;
    /** Factors by which the trigger multiplies the work time of upstreams, by service. */
    readonly workFactors: Readonly<Record<string, number>>;
    /** Factor by which the trigger multiplies the rate of new actions. */
    readonly rateFactor: number;
}

/** A call graph with its load and trigger. Times count from the start of the load. */
export interface Experiment {
    readonly graphName: string;
    readonly policy: Policy;
    readonly routes: UpstreamRoutes;
    readonly classes: readonly EntryClass[];
    /** Service whose number of slots determines the queue limit of all upstreams under the fixed control. */
    readonly bottleneckService: string;
    /** Time that callers wait for the answer to one attempt. */
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of an action, including the first. */
    readonly maxAttempts: number;
    /** Maximum duration of an action, including all attempts, for its answer to count as goodput. */
    readonly maxUsefulLatencyMs: number;
    readonly seed: number;
    readonly trigger: Trigger;
    /** Algorithm that determines the concurrency limits of nodes; by default the one that real nodes use. */
    readonly limitAlgorithm?: LimitAlgorithm;
    /** Actual slots of each upstream of a service, where they differ from the policy; ignored without nodes. */
    readonly realSlots?: Readonly<Record<string, number>>;
    /** Queue length above which the upstreams of a service shed requests; ignored without nodes. */
    readonly maxQueuedByService?: Readonly<Record<string, number>>;
    /** End of the warm-up. Results before the trigger cover the time from here to the start of the trigger. */
    readonly warmupEndMs: number;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    /** Duration of the load. */
    readonly durationMs: number;
}

/** Results of one run of an experiment. An action is successful only if it succeeded in time. */
export interface ExperimentResult {
    readonly control: ControlKind;
    /** Results by class of actions; rates are per second and count an action at its start. */
    readonly classes: readonly {
        readonly name: string;
        /** Rate of successful actions after the warm-up and before the trigger. */
        readonly before: number;
        /** Rate of successful actions during the trigger. */
        readonly during: number;
        /** Rate of successful actions after the trigger. */
        readonly after: number;
        /** Rate of all actions that began during the trigger and have ended. */
        readonly offeredDuring: number;
        /** 99th percentile of the durations of successful actions, including all attempts. */
        readonly p99Ms: number;
    }[];
    /**
     * Time from the end of the trigger until the share of successful actions is at least 95% of its level before the
     * trigger and remains so for 2 s; undefined if that does not happen during the load.
     */
    readonly recoveryMs: number | undefined;
    /** Number of retries of nodes, or of upstreams without nodes, divided by the number of upstream runs. */
    readonly retriesPerCall: number;
    /** Share of the upstream runs that were wasted on actions that did not succeed in time. */
    readonly wastedShare: number;
    /** Number of idempotency keys whose non-idempotent request ran more than once, counted over all upstreams. */
    readonly doubleRuns: number;
    /** Number of keyed actions whose last answer was "not run" although an upstream had run the request. */
    readonly untrueRefusals: number;
    /** Number of actions that had not ended when the run ended. */
    readonly unanswered: number;
}
