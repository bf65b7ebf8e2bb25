import { type Organisation, type Route, type RoutingTable, type UpstreamRecord } from "../routing/types";

/** Creates a route, by default an idempotent one to the service `desk`. */
export const createRoute = (overrides: Partial<Route> = {}): Route => ({
    name: "lookup",
    host: "desk.example",
    prefix: "/lookup/",
    idempotent: true,
    timeoutMs: 2_000,
    targetLatencyMs: 500,
    rank: 2,
    maxUpstreams: 2,
    targets: [{ service: "desk", weight: 1 }],
    isPublic: false,
    ...overrides,
});

/** Creates a routing table with fixed limits on headers, bodies and idle connections. */
export const createRoutingTable = (
    version: number,
    routes: readonly Route[],
    organisations?: readonly Organisation[],
): RoutingTable => ({
    version,
    routes,
    organisations,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
});

/** Creates the record of an upstream, by default a ready one of the service `desk`. */
export const createUpstreamRecord = (overrides: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
    id: "i-1",
    service: "desk",
    host: "127.0.0.2",
    port: 9_000,
    failureDomain: "pvl-a",
    slots: 10,
    state: "ready",
    warmupLeftMs: 0,
    bornAtMs: 0,
    sequence: 0,
    ...overrides,
});
