/** Types of the routing table that operators publish, and of the registered upstreams that serve its routes. */

/** One of the services over which a route's requests are distributed. */
export interface RouteTarget {
    readonly service: string;
    /** Weight of this target, relative to the weights of the others. */
    readonly weight: number;
}

/** One route: the requests that it matches, and how they are handled. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    /** Whether its requests are idempotent: running one more than once does no harm. */
    readonly idempotent: boolean;
    /** Longest time that a request may take, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer is of full value to its caller, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Importance of its requests; 0 is the most important. */
    readonly rank: number;
    /** Largest number of upstreams to which one request may be sent. */
    readonly maxUpstreams: number;
    /** At least one, with positive weights. */
    readonly targets: readonly RouteTarget[];
}

/** Limits on the size of requests and on the time in which callers send them. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of all routes. */
export interface RoutingTable {
    /** Version number; increases with each version, not necessarily by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly limits: RequestLimits;
}

/** Readiness of an upstream for requests, as the upstream itself reports it. */
export type UpstreamState = "ready" | "draining";

/** One registered upstream. */
export interface UpstreamRecord {
    readonly id: string;
    readonly service: string;
    /** IP address of the instance, on which its node listens too. */
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Requests that the upstream can serve at once. */
    readonly slots: number;
    readonly state: UpstreamState;
    /** Time for which the upstream is still slow after its start, in milliseconds. */
    readonly warmupLeftMs: number;
    /** Start of the incarnation, in milliseconds since 1970. */
    readonly bornAtMs: number;
}
