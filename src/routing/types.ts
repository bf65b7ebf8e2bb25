/** The routing table that operators publish, and the records of the upstreams that may serve its routes. */

/** One of the services among which a route's requests are divided. */
export interface RouteTarget {
    readonly service: string;
    /** Part of the requests, relative to the weights of the other targets. */
    readonly weight: number;
}

/** One route: which requests it takes, and how they may be handled. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    /** Whether running a request more than once does no harm. */
    readonly idempotent: boolean;
    /** Longest time that a request may be kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer has its full value, in milliseconds. */
    readonly targetLatencyMs: number;
    /** 0 is the most important. */
    readonly rank: number;
    /** Largest number of upstreams that one request may be sent to. */
    readonly maxUpstreams: number;
    /** At least one, with positive weights. */
    readonly targets: readonly RouteTarget[];
}

/** Bounds on what callers may send, and on how long they may take. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One numbered version of all routes. */
export interface RoutingTable {
    /** Versions grow; their steps may be uneven. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly limits: RequestLimits;
}

/** What an upstream says of its readiness for work. */
export type UpstreamState = "ready" | "draining";

/** One registered upstream. */
export interface UpstreamRecord {
    readonly id: string;
    readonly service: string;
    /** IP number of the instance; its node listens there too. */
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Requests that the upstream runs at once. */
    readonly slots: number;
    readonly state: UpstreamState;
    /** How much longer the upstream stays slow after its start, in milliseconds. */
    readonly warmupLeftMs: number;
    /** Start of the incarnation, in milliseconds since 1970. */
    readonly bornAtMs: number;
}
