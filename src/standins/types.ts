/** Configurations and results of the stand-ins, JSON between processes of one build. */
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

/** How an upstream sends nested calls: through its node, or directly to upstreams with immediate retries. */
export type NestedCallRouting =
    | { readonly kind: "node"; readonly egress: Address; }
    | {
        readonly kind: "direct";
        readonly upstreams: Readonly<Record<string, readonly Address[]>>;
        /** Maximum number of attempts of one nested call. */
        readonly maxAttempts: number;
        /** Timeout of one attempt, in milliseconds. */
        readonly timeoutMs: number;
    };

/** Configuration of an upstream stand-in. */
export interface UpstreamConfig {
    readonly endpoint: string;
    readonly port: number;
    readonly slots: number;
    readonly seed: number;
    readonly routes: readonly UpstreamRoute[];
    readonly nestedCallRouting: NestedCallRouting;
}

/** Class of actions with the same request and rate. */
export interface LoadClass {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly ratePerSecond: number;
    /** Whether each action has an idempotency key. */
    readonly keyed: boolean;
}

/** Configuration of the callers. */
export interface CallersConfig {
    readonly seed: number;
    /** Addresses that accept callers' requests, by service. */
    readonly entries: Readonly<Record<string, readonly Address[]>>;
    /** Classes of load, each with the service that its requests are sent to. */
    readonly classes: readonly (LoadClass & { readonly entry: string; })[];
    readonly durationMs: number;
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of one action; there is no delay between them. */
    readonly maxAttempts: number;
}

/** Result of one action; times count from the start of the load. */
export interface ActionRecord {
    readonly className: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly ok: boolean;
    readonly attempts: number;
    readonly action: string;
    readonly key: string | undefined;
    /** Outcome header of the answer to the last attempt, if there was one. */
    readonly outcome: string | undefined;
    /** Status of the answer to the last attempt, 0 if there was no answer. */
    readonly status: number;
}

/** Counts of the requests that an upstream has run. */
export interface UpstreamReport {
    readonly endpoint: string;
    readonly runs: number;
    /** Runs that were aborted because the sender closed the connection. */
    readonly cancelledRuns: number;
    /** Runs of non-idempotent requests, by idempotency key. */
    readonly runsByKey: Readonly<Record<string, number>>;
}
