/** Types of experiments. */
import { type Policy } from "../src/policy/types";
import { type CallersConfig, type UpstreamRoute } from "../src/standins/types";

/** A call graph with its load and its trigger. */
export interface Scenario {
    readonly name: string;
    readonly seed: number;
    readonly policy: Policy;
    readonly region: string;
    readonly entryServices: readonly string[];
    readonly upstreamRoutes: Readonly<Record<string, readonly UpstreamRoute[]>>;
    readonly classes: CallersConfig["classes"];
    readonly attemptTimeoutMs: number;
    readonly maxAttempts: number;
    /** Time within which an action's answer is of use. */
    readonly maxUsefulLatencyMs: number;
    readonly triggerService: string;
    readonly triggerFactor: number;
    readonly triggerStartMs: number;
    readonly triggerEndMs: number;
    readonly durationMs: number;
    /** Start of the span from which the goodput before the trigger is taken. */
    readonly warmupEndMs: number;
}

/** Goodput of one class in one bin. */
export interface GoodputPoint {
    readonly atMs: number;
    readonly perSecond: number;
}

/** Figures of one class of actions. */
export interface ClassSummary {
    readonly name: string;
    readonly begun: number;
    readonly whole: number;
    /** Share of whole requests among those begun, by phase. */
    readonly beforeShare: number;
    readonly triggerShare: number;
    readonly afterShare: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly series: readonly GoodputPoint[];
}

/** Figures of one run. */
export interface RunSummary {
    readonly label: string;
    readonly classes: readonly ClassSummary[];
    readonly total: readonly GoodputPoint[];
    /** Time from the end of the trigger until goodput stays at 95% of before; undefined if it never does. */
    readonly recoveryMs: number | undefined;
    readonly attemptsPerAction: number;
    readonly upstreamRuns: number;
    readonly cancelledRuns: number;
    /** Keys whose request ran more than once at some upstream. */
    readonly doubleRuns: number;
    /** Actions told as not run whose request had run. */
    readonly untrueRefusals: number;
}
