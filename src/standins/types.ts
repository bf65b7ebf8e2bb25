/** Configurations and results of the stand-ins; processes of one build exchange them as JSON. */
import { type Address } from "../types";

/** Request that an upstream sends to another service while it serves a request. */
export interface NestedCall {
    readonly service: string;
    readonly method: string;
    readonly path: string;
}

/** Simulated behaviour of an upstream on one route. */
export interface UpstreamRoute {
    readonly method: string;
    readonly pathPrefix: string;
    /** Mean time of the upstream's own work, in milliseconds, at a work factor of 1. */
    readonly workMs: number;
    readonly nestedCalls: readonly NestedCall[];
    readonly idempotent: boolean;
}

/** How an upstream sends nested calls: through its node, or directly to random upstreams with immediate retries. */
export type NestedCallRouting =
    | { readonly kind: "node"; readonly egress: Address; }
    | {
        readonly kind: "direct";
        readonly upstreams: Readonly<Record<string, readonly Address[]>>;
        /** Maximum number of attempts of one nested call, including the first. */
        readonly maxAttempts: number;
        /** Timeout of one attempt, in milliseconds. */
        readonly timeoutMs: number;
    };

export interface UpstreamConfig {
    readonly endpoint: string;
    readonly port: number;
    readonly slots: number;
    readonly seed: number;
    readonly routes: readonly UpstreamRoute[];
    readonly nestedCallRouting: NestedCallRouting;
}

/** Actions that send the same request, and the mean rate at which they start. */
export interface LoadClass {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly ratePerSecond: number;
    /** Whether each action has an idempotency key, which all its attempts share. */
    readonly keyed: boolean;
}

export interface CallersConfig {
    readonly seed: number;
    /** Addresses that callers send requests to, by service. */
    readonly entries: Readonly<Record<string, readonly Address[]>>;
    /** Classes of load; `entry` is the service that the requests of a class are sent to. */
    readonly classes: readonly (LoadClass & { readonly entry: string; })[];
    readonly durationMs: number;
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of one action, including the first; retries are sent without a delay. */
    readonly maxAttempts: number;
}

/** Result of one action; times are in milliseconds since the callers' start, or on the virtual clock. */
export interface ActionRecord {
    readonly className: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly ok: boolean;
    readonly attempts: number;
    readonly action: string;
    readonly key: string | undefined;
    /** Outcome header of the answer to the last attempt, if present. */
    readonly outcome: string | undefined;
    /** Status of the answer to the last attempt, or 0 for an attempt without an answer. */
    readonly status: number;
}

/** Counts of the runs at an upstream since its start. */
export interface UpstreamReport {
    readonly endpoint: string;
    readonly runs: number;
    /** Runs that stopped early because the sender closed the connection. */
    readonly cancelledRuns: number;
    /** Number of runs of each non-idempotent request, by idempotency key. */
    readonly runsByKey: Readonly<Record<string, number>>;
}
