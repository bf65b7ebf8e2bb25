/** Schemas of the overload policy and of its published log. */
import { z } from "zod";

const nameSchema = z.string().regex(
    /^[a-z][a-z0-9-]{0,62}$/u,
    "expected a lower-case name of at most 63 letters, digits and dashes",
);

const routeSchema = z.strictObject({
    name: nameSchema.describe("Name of the route, unique in its service."),
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]).describe("HTTP method."),
    path: z.string().regex(/^\/[^\s?#]*$/u, "expected a path that starts with /").describe(
        "Path pattern; `:name` stands for one segment, `*` for the rest.",
    ),
    importance: z.enum(["critical", "normal", "low"]).describe(
        "Class of the route; when load must be shed, low goes first and critical last.",
    ),
    idempotent: z.boolean().describe("Whether running a request twice does no harm."),
    deadlineMs: z.int().min(10).max(600_000).describe("Longest time for the whole call, in milliseconds."),
});

const endpointSchema = z.strictObject({
    name: nameSchema.describe("Name of the endpoint; it stays when the instance behind it is replaced."),
    failureDomain: nameSchema.describe("Failure domain of the endpoint."),
});

const serviceSchema = z.strictObject({
    slots: z.int().min(1).max(100_000).describe("Requests that one upstream runs at once."),
    connections: z.int().min(1).max(100_000).describe("Connections that one upstream accepts."),
    queue: z.strictObject({
        maxLength: z.int().min(0).max(100_000).describe("Requests that may wait in front of one upstream."),
        maxWaitMs: z.int().min(0).max(60_000).describe("Longest wait in the queue, in milliseconds."),
    }),
    reservedShare: z.number().min(0).max(0.9).describe(
        "Share of the concurrency limit that only critical requests use.",
    ),
    notRunStatuses: z.array(z.int().min(400).max(599)).describe(
        "Statuses that this upstream answers only when it has not started the request.",
    ),
    endpoints: z.array(endpointSchema).min(1),
    routes: z.array(routeSchema).min(1),
});

/** Overload policy of one call graph. */
export const policySchema = z.strictObject({
    name: nameSchema.describe("Name of the call graph."),
    retryLimit: z.int().min(0).max(20).describe("Retries in total for one action, over its whole call tree."),
    drainLimitMs: z.int().min(1_000).max(600_000).describe(
        "Longest time that a graceful shutdown waits for requests in flight.",
    ),
    services: z.record(nameSchema, serviceSchema),
});

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/u, "expected a SHA-256 digest in hexadecimal");
const versionSchema = z.int().min(1);

const patchOperationSchema = z.discriminatedUnion("op", [
    z.strictObject({ op: z.literal("add"), path: z.string(), value: z.json() }),
    z.strictObject({ op: z.literal("replace"), path: z.string(), value: z.json() }),
    z.strictObject({ op: z.literal("remove"), path: z.string() }),
    z.strictObject({ op: z.literal("test"), path: z.string(), value: z.json() }),
    z.strictObject({ op: z.literal("move"), path: z.string(), from: z.string() }),
    z.strictObject({ op: z.literal("copy"), path: z.string(), from: z.string() }),
]);

/** A JSON Patch (RFC 6902). */
export const patchSchema = z.array(patchOperationSchema).min(1);

const entrySchema = z.strictObject({
    base: versionSchema.describe("Version that the patch was made against."),
    baseDigest: digestSchema,
    version: versionSchema.describe("Version that the patch makes."),
    digest: digestSchema,
    author: z.string().min(1).max(200),
    time: z.iso.datetime(),
    reason: z.string().min(1).max(2_000),
    patch: patchSchema,
});

/** Published policy log: a snapshot and the patches that follow it. */
export const policyLogSchema = z.strictObject({
    snapshot: z.strictObject({
        version: versionSchema,
        baseDigest: z.union([digestSchema, z.literal("")]).describe(
            "Digest of the version before, empty for the first one.",
        ),
        digest: digestSchema,
        author: z.string().min(1).max(200),
        time: z.iso.datetime(),
        reason: z.string().min(1).max(2_000),
        policy: policySchema,
    }),
    entries: z.array(entrySchema),
});
