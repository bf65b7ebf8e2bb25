/** Configurations of the stand-ins. */
import { type Address } from "../types";

/** A call that an upstream makes while it serves a request. */
export interface NestedCall {
    readonly service: string;
    readonly method: string;
    readonly path: string;
}

/** How an upstream serves one route. */
export interface UpstreamRoute {
    readonly method: string;
    readonly pathPrefix: string;
    /** Mean time of its own work, in milliseconds. */
    readonly workMs: number;
    readonly nestedCalls: readonly NestedCall[];
    readonly idempotent: boolean;
}

/** How an upstream reaches other services: through its node, or directly with plain retries. */
export type NestedCallRouting =
    | { readonly kind: "node"; readonly egress: Address; }
    | {
        readonly kind: "direct";
        readonly upstreams: Readonly<Record<string, readonly Address[]>>;
        readonly maxAttempts: number;
        readonly timeoutMs: number;
    };

/** Configuration of an upstream. */
export interface UpstreamConfig {
    readonly endpoint: string;
    readonly port: number;
    readonly slots: number;
    readonly seed: number;
    readonly routes: readonly UpstreamRoute[];
    readonly nestedCallRouting: NestedCallRouting;
}

/** A kind of action that callers begin. */
export interface LoadClass {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly ratePerSecond: number;
    readonly keyed: boolean;
}

/** Configuration of the callers. */
export interface CallersConfig {
    readonly seed: number;
    readonly entries: Readonly<Record<string, readonly Address[]>>;
    /** Service at which each class enters. */
    readonly classes: readonly (LoadClass & { readonly entry: string; })[];
    readonly durationMs: number;
    readonly attemptTimeoutMs: number;
    /** Attempts of one action, with no wait between them. */
    readonly maxAttempts: number;
}

/** What became of one action. */
export interface ActionRecord {
    readonly className: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly ok: boolean;
    readonly attempts: number;
    readonly action: string;
    readonly key: string | undefined;
    /** Outcome as told by the last answer, if there was one. */
    readonly outcome: string | undefined;
    readonly status: number;
}

/** What an upstream reports of its runs. */
export interface UpstreamReport {
    readonly endpoint: string;
    readonly runs: number;
    readonly cancelledRuns: number;
    /** Runs of each non-idempotent request, by its key. */
    readonly runsByKey: Readonly<Record<string, number>>;
}
