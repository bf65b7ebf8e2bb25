/** Types of the routing table that operators publish, and of the registered upstreams that serve its routes. */

/** A service that receives part of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    /** Share of the requests, relative to the weights of the route's other targets. */
    readonly weight: number;
}

/** A route: which requests match it, and how they are handled. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    /** Whether it does no harm to run one of its requests more than once. */
    readonly idempotent: boolean;
    /** Maximum time for a request, in milliseconds; a caller may set an earlier deadline. */
    readonly timeoutMs: number;
    /** Time within which an answer is of full value to its caller, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Importance rank of its requests; 0 is the most important. */
    readonly rank: number;
    /** Maximum number of upstreams that one request may be sent to. */
    readonly maxUpstreams: number;
    /** Services that the requests are distributed over; at least one, with positive weights. */
    readonly targets: readonly RouteTarget[];
    /** Whether its requests need no key, also where organisations have keys. */
    readonly isPublic: boolean;
}

/** Limit on the requests of an organisation, over all nodes together. */
export interface Quota {
    readonly ratePerSecond: number;
    /** Requests allowed at once in addition to the rate. */
    readonly burst: number;
}

/** An organisation, which callers name by a key. */
export interface Organisation {
    readonly name: string;
    /** Digests of its keys; see `computeKeyDigest`. The keys themselves are kept nowhere. */
    readonly keyDigests: readonly string[];
    /** Rank of its requests, which takes precedence over the rank of the route; undefined if it has none. */
    readonly rank?: number | undefined;
    /** Undefined if its requests are not limited. */
    readonly quota?: Quota | undefined;
}

/** Limits on the size of requests and on the time that callers may take to send them. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the routes, of the limits on requests and of the organisations. */
export interface RoutingTable {
    /** Version number; increases with each version, not necessarily by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly limits: RequestLimits;
    /** Organisations whose keys requests carry; undefined if requests carry no keys. */
    readonly organisations?: readonly Organisation[] | undefined;
}

/**
 * Readiness of an upstream for requests: as the upstream itself reports it, or `missing` if its entry is gone after an
 * outage of the store and may still be written again.
 */
export type UpstreamState = "ready" | "draining" | "missing";

/** A registered upstream. */
export interface UpstreamRecord {
    readonly id: string;
    readonly service: string;
    /** IP address of the instance; its node listens on the same address. */
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Number of requests that the upstream can serve at once. */
    readonly slots: number;
    readonly state: UpstreamState;
    /** Remaining time for which the upstream is slow after its start, in milliseconds. */
    readonly warmupLeftMs: number;
    /** Start of the upstream's current incarnation, in milliseconds since 1970. */
    readonly bornAtMs: number;
    /** Number of times that this incarnation has written its record; starts anew with each incarnation. */
    readonly sequence: number;
}

/** Latest known state of an upstream whose record has been removed. */
export type GoneRecord = Pick<UpstreamRecord, "id" | "bornAtMs" | "sequence">;

/** Position in the history of the platform's store. Revisions are comparable only within an era. */
export interface StorePosition {
    /** Number of times that the store has been restored from an older copy. */
    readonly era: number;
    readonly revision: number;
}
