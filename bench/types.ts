/** Types shared by the benchmarks that run real processes. */
import { type Policy } from "../src/policy/types";
import { type CallersConfig, type UpstreamRoute } from "../src/standins/types";

/** A call graph with its load and a trigger that slows one service. Times count from the start of the load. */
export interface Scenario {
    readonly name: string;
    readonly seed: number;
    readonly policy: Policy;
    readonly region: string;
    /** Services that callers send requests to. */
    readonly entryServices: readonly string[];
    readonly upstreamRoutes: Readonly<Record<string, readonly UpstreamRoute[]>>;
    readonly classes: CallersConfig["classes"];
    /** Time that callers wait for the answer to one attempt. */
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of an action, including the first. */
    readonly maxAttempts: number;
    /** Maximum duration of an action, including all attempts, for its answer to count as goodput. */
    readonly maxUsefulLatencyMs: number;
    /** Service that the trigger slows. */
    readonly triggerService: string;
    /** Factor by which the trigger multiplies the work time of that service. */
    readonly triggerFactor: number;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    /** Duration of the load. */
    readonly durationMs: number;
    /** End of the warm-up. Results before the trigger cover the time from here to the start of the trigger. */
    readonly warmupEndMs: number;
}

/** Goodput in one time bin: actions begun in it that succeeded in time, per second. */
export interface GoodputPoint {
    /** Start of the bin, from the start of the load. */
    readonly atMs: number;
    readonly perSecond: number;
}

/** Results of one class of actions, over the whole run unless a field says otherwise. */
export interface ClassSummary {
    readonly name: string;
    /** Number of actions that callers began. */
    readonly begun: number;
    /** Number of actions that succeeded in time. */
    readonly whole: number;
    /** Share of actions that succeeded in time, of those begun after the warm-up and before the trigger. */
    readonly beforeShare: number;
    /** Share of actions that succeeded in time, of those begun during the trigger. */
    readonly triggerShare: number;
    /** Share of actions that succeeded in time, of those begun after the trigger. */
    readonly afterShare: number;
    /** Median duration of the actions that succeeded in time, including all attempts. */
    readonly p50Ms: number;
    /** 99th percentile of the durations of the actions that succeeded in time, including all attempts. */
    readonly p99Ms: number;
    readonly series: readonly GoodputPoint[];
}

/** Results of one run of a scenario. */
export interface RunSummary {
    readonly label: string;
    readonly classes: readonly ClassSummary[];
    /** Goodput of all classes together. */
    readonly total: readonly GoodputPoint[];
    /**
     * Time from the end of the trigger until the share of successful actions is at least 95% of its level before the
     * trigger and remains so for 2 s; undefined if that does not happen during the load.
     */
    readonly recoveryMs: number | undefined;
    /** Mean number of attempts that callers made for an action. */
    readonly attemptsPerAction: number;
    /** Number of requests that upstreams ran, including nested ones and retries. */
    readonly upstreamRuns: number;
    /** Number of these runs that were aborted because the sender closed the connection. */
    readonly cancelledRuns: number;
    /** Number of idempotency keys whose non-idempotent request ran more than once, counted over all upstreams. */
    readonly doubleRuns: number;
    /** Number of keyed actions whose last answer was "not run" although an upstream had run the request. */
    readonly untrueRefusals: number;
}
