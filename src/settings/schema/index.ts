/** Schema of a node's settings file. */
import { z } from "zod";
import { defaultMaxRequestBodyBytes } from "../../constants";

const nameSchema = z.string().regex(
    /^[a-z][a-z0-9-]{0,62}$/u,
    "expected a lower-case name of at most 63 letters, digits and dashes",
);

const addressSchema = z.strictObject({
    host: z.union([z.ipv4(), z.ipv6()], "expected an IP address").describe("IP number."),
    port: z.int().min(1).max(65_535).describe("TCP port."),
});

const callerSchema = z.strictObject({
    name: nameSchema.describe("Name of the caller, as shown to operators."),
    credentialDigest: z.string().regex(/^[0-9a-f]{64}$/u, "expected a SHA-256 digest in hexadecimal").describe(
        "SHA-256 of the caller's whole Authorization header.",
    ),
});

/** Settings of one node. */
export const settingsSchema = z.strictObject({
    endpoint: nameSchema.describe("Endpoint that this node's upstream fills."),
    service: nameSchema.describe("Service of the upstream."),
    failureDomain: nameSchema.describe("Failure domain of the node."),
    region: nameSchema.describe("Region of the node."),
    listen: z.strictObject({
        callers: addressSchema.optional().describe("Listener for callers from outside; absent on inner services."),
        peers: addressSchema.describe("Listener for calls from other nodes."),
        egress: addressSchema.describe("Listener for the calls that the local upstream makes."),
        control: addressSchema.describe("Listener for metrics, health, status and audit."),
    }),
    upstream: addressSchema.describe("Address of the local upstream."),
    platform: z.strictObject({
        address: addressSchema,
        policyKey: z.string().min(1).describe("Key of the policy log."),
        instancesKey: z.string().min(1).describe("Key of the instance list."),
    }),
    seeds: z.array(addressSchema).default([]).describe(
        "Control listeners of other nodes to ask while no instance list can be read.",
    ),
    callers: z.array(callerSchema).default([]).describe("Known callers; when empty, every caller is let in."),
    maxRequestBodyBytes: z.int().min(1).default(defaultMaxRequestBodyBytes).describe("Largest request body, in bytes."),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});
