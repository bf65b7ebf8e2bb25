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
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of an action. */
    readonly maxAttempts: number;
    /** Maximum duration of an action for its answer to count as goodput, in milliseconds. */
    readonly maxUsefulLatencyMs: number;
    readonly triggerService: string;
    /** Factor on the work time of the trigger service's upstreams during the trigger. */
    readonly triggerFactor: number;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    readonly durationMs: number;
    /** End of the warm-up; the goodput before the trigger is measured from here to the start of the trigger. */
    readonly warmupEndMs: number;
}

/** Goodput in one time bin, in successful actions per second. */
export interface GoodputPoint {
    readonly atMs: number;
    readonly perSecond: number;
}

/** Results of one class of actions. */
export interface ClassSummary {
    readonly name: string;
    readonly begun: number;
    /** Number of actions with a successful answer in time. */
    readonly whole: number;
    /** Share of the actions begun before, during and after the trigger that succeeded in time. */
    readonly beforeShare: number;
    readonly triggerShare: number;
    readonly afterShare: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly series: readonly GoodputPoint[];
}

/** Results of one run. */
export interface RunSummary {
    readonly label: string;
    readonly classes: readonly ClassSummary[];
    readonly total: readonly GoodputPoint[];
    /** Time from the end of the trigger until goodput stays at 95% of its level before; undefined if it never does. */
    readonly recoveryMs: number | undefined;
    readonly attemptsPerAction: number;
    readonly upstreamRuns: number;
    readonly cancelledRuns: number;
    /** Number of keys whose request ran more than once. */
    readonly doubleRuns: number;
    /** Number of actions that were answered as not run although their request had run. */
    readonly untrueRefusals: number;
}
