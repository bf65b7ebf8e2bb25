/** Types of a soak: what its parts record, and what is judged. */

/** Kinds of events that a soak plays besides the callers' load. */
export const soakKinds = [
    "config",
    "drain",
    "removal",
    "odd",
    "cut",
    "silent-watch",
    "refusal",
    "freeze",
    "kill",
    "restart",
    "outage",
    "compaction",
    "older-store",
] as const;

export type SoakKind = typeof soakKinds[number];

/** A configuration that the store has acknowledged. */
export interface PublishedVersion {
    readonly version: number;
    readonly ackAtMs: number;
}

/** Time for which a route is part of the configuration. */
export interface RouteLife {
    readonly name: string;
    readonly addedAtMs: number;
    /** Infinity while the route is part of the configuration. */
    readonly removedAtMs: number;
}

/** An upstream whose entry says that it drains, or has been removed. */
export interface Leaving {
    readonly upstreamId: string;
    readonly ackAtMs: number;
}

/** Time during which a node, or the store for all nodes, is disturbed. */
export interface Disruption {
    /** Name of a node, or "store". */
    readonly place: string;
    readonly fromMs: number;
    readonly toMs: number;
    readonly kind: string;
}

/** A request and what its caller got; `status` is 0 without a complete answer. */
export interface SoakCall {
    readonly requestId: string;
    readonly node: string;
    readonly route: string;
    readonly idempotent: boolean;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    readonly status: number;
    readonly isWhole: boolean;
}

/** One start of a request at an upstream. */
export interface SoakRun {
    readonly requestId: string;
    readonly upstreamId: string;
    /** Name of the node beside the upstream. */
    readonly node: string;
    readonly atMs: number;
}

/** Answer to the question whether a node is ready. */
export interface ReadyProbe {
    readonly node: string;
    readonly atMs: number;
    readonly isReady: boolean;
}

/** All that a soak has recorded. */
export interface SoakRecord {
    readonly calls: readonly SoakCall[];
    readonly runs: readonly SoakRun[];
    readonly routes: readonly RouteLife[];
    readonly leavings: readonly Leaving[];
    readonly disruptions: readonly Disruption[];
    readonly probes: readonly ReadyProbe[];
    /** Processes that ended by themselves, one line each. */
    readonly exits: readonly string[];
}
