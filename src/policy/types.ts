/** Types of the policy and its log, derived from the schemas. */
import { type z } from "zod";
import { type patchSchema, type policyLogSchema, type policySchema } from "./schema";

type DeepReadonly<T> = T extends readonly (infer Item)[] ? readonly DeepReadonly<Item>[]
    : T extends object ? { readonly [Key in keyof T]: DeepReadonly<T[Key]>; }
    : T;

/** Overload policy of one call graph. */
export type Policy = DeepReadonly<z.infer<typeof policySchema>>;
/** Policy of one service: its capacity, queue, endpoints and routes. */
export type ServicePolicy = Policy["services"][string];
/** Policy of one route: which requests match it, and their importance and deadline. */
export type RoutePolicy = ServicePolicy["routes"][number];
/** Endpoint of a service, served by one instance at a time; it remains when that instance is replaced. */
export type Endpoint = ServicePolicy["endpoints"][number];
/** A JSON Patch (RFC 6902). */
export type PolicyPatch = DeepReadonly<z.infer<typeof patchSchema>>;
/** Published log of a policy: a snapshot of one version and the patches that follow it. */
export type PolicyLog = DeepReadonly<z.infer<typeof policyLogSchema>>;
/** One patch in the log, with its base version and metadata. */
export type PolicyLogEntry = PolicyLog["entries"][number];

/** One accepted version of the policy. */
export interface PolicyVersion {
    readonly version: number;
    /** Digest of the previous version, empty for the first one. */
    readonly baseDigest: string;
    readonly digest: string;
    readonly author: string;
    readonly time: string;
    readonly reason: string;
    readonly policy: Policy;
}

/** A log entry that was rejected, and the reason. */
export interface RejectedEntry {
    readonly entry: PolicyLogEntry;
    readonly reason: string;
}

/** Accepted versions of a log, oldest first, and its rejected entries. */
export interface PolicyChain {
    readonly versions: readonly PolicyVersion[];
    readonly rejected: readonly RejectedEntry[];
}

/** Author, time and reason of a policy change. */
export interface ChangeMetadata {
    readonly author: string;
    /** ISO 8601 time in UTC. */
    readonly time: string;
    readonly reason: string;
}
