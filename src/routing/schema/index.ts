/** Schemas of what nodes take in from the platform and from each other. */
import * as z from "zod";
import { countSchema, portSchema } from "../../_lib/numberSchemas";
import {
    type GoneRecord,
    type Organisation,
    type Route,
    type RoutingTable,
    type StorePosition,
    type UpstreamRecord,
} from "../types";

const maxNameCharacters = 200;
const maxSlots = 1_000_000;
/** Start times from this one on are no times of a clock, in milliseconds since 1970. */
const endOfTimeMs = Date.UTC(2100, 0, 1);
/** Matches addresses of no single host: "this network", multicast, reserved and broadcast. */
const unusableHost = /^(?:0|22[4-9]|2[3-5]\d)\./u;

const nameSchema = z.string().max(maxNameCharacters);
/** Ids are sent as the value of a header. */
const idSchema = nameSchema.regex(/^[!-~]+$/u, "expected visible ASCII characters");
const startTimeSchema = z.int().min(0).max(endOfTimeMs);

/** Schema of an upstream's record; any record that conforms to it can be ranked, connected to and named in a header. */
export const upstreamRecordSchema: z.ZodType<UpstreamRecord> = z.object({
    id: idSchema,
    service: nameSchema.min(1),
    host: z.ipv4().refine(host => !unusableHost.test(host), "expected the address of one host"),
    port: portSchema,
    failureDomain: nameSchema,
    slots: z.int().min(1).max(maxSlots),
    state: z.enum(["ready", "draining", "missing"]),
    warmupLeftMs: z.number().min(0),
    bornAtMs: startTimeSchema,
    sequence: countSchema,
});

/** Schema of what is remembered of a removed upstream. */
export const goneRecordSchema: z.ZodType<GoneRecord> = z.object({
    id: nameSchema,
    bornAtMs: startTimeSchema,
    sequence: countSchema,
});

/** Schema of a position in the history of the store. */
export const storePositionSchema: z.ZodType<StorePosition> = z.object({ era: countSchema, revision: countSchema });

const routeSchema: z.ZodType<Route> = z.object({
    name: z.string(),
    host: z.string(),
    prefix: z.string(),
    idempotent: z.boolean(),
    timeoutMs: z.number(),
    targetLatencyMs: z.number(),
    rank: z.number(),
    maxUpstreams: z.number(),
    targets: z.array(z.object({ service: z.string(), weight: z.number().positive() })).min(1),
    isPublic: z.boolean(),
});

const organisationSchema: z.ZodType<Organisation> = z.object({
    name: z.string(),
    keyDigests: z.array(z.string()),
    rank: z.number().optional(),
    quota: z.object({ ratePerSecond: z.number(), burst: z.number() }).optional(),
});

/** Schema of a routing table; a table with one invalid route is invalid. */
export const routingTableSchema: z.ZodType<RoutingTable> = z.object({
    version: countSchema,
    routes: z.array(routeSchema),
    limits: z.object({
        maxHeaderBytes: z.number(),
        maxBodyBytes: z.number(),
        headerTimeoutMs: z.number(),
        idleTimeoutMs: z.number(),
    }),
    organisations: z.array(organisationSchema).optional(),
});
