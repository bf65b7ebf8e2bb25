import { type Route, type RoutingTable, type UpstreamRecord } from "../routing/types";

/** Creates a route from defaults and changes. */
export const createRoute = (changes: Partial<Route> = {}): Route => ({
    name: "lookup",
    host: "desk.example",
    prefix: "/lookup/",
    idempotent: true,
    timeoutMs: 2_000,
    targetLatencyMs: 500,
    rank: 2,
    maxUpstreams: 2,
    targets: [{ service: "desk", weight: 1 }],
    ...changes,
});

/** Creates a routing table with default limits. */
export const createRoutingTable = (version: number, routes: readonly Route[]): RoutingTable => ({
    version,
    routes,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
});

/** Creates the record of a ready upstream from defaults and changes. */
export const createUpstreamRecord = (changes: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
    id: "i-1",
    service: "desk",
    host: "127.0.0.2",
    port: 9_000,
    failureDomain: "pvl-a",
    slots: 10,
    state: "ready",
    warmupLeftMs: 0,
    bornAtMs: 0,
    ...changes,
});
