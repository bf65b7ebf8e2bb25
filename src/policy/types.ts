/** Types of the policy and its log, derived from the schemas. */
import { type z } from "zod";
import { type patchSchema, type policyLogSchema, type policySchema } from "./schema";

type DeepReadonly<T> = T extends readonly (infer Item)[] ? readonly DeepReadonly<Item>[]
    : T extends object ? { readonly [Key in keyof T]: DeepReadonly<T[Key]>; }
    : T;

/** The overload policy of one call graph. */
export type Policy = DeepReadonly<z.infer<typeof policySchema>>;
/** What the policy says of one service. */
export type ServicePolicy = Policy["services"][string];
/** What the policy says of one route. */
export type RoutePolicy = ServicePolicy["routes"][number];
/** One place of a service that an instance fills. */
export type Endpoint = ServicePolicy["endpoints"][number];
/** A patch as in RFC 6902. */
export type PolicyPatch = DeepReadonly<z.infer<typeof patchSchema>>;
/** The published log of one policy. */
export type PolicyLog = DeepReadonly<z.infer<typeof policyLogSchema>>;
/** One patch in the log. */
export type PolicyLogEntry = PolicyLog["entries"][number];

/** One accepted version of the policy. */
export interface PolicyVersion {
    readonly version: number;
    /** Digest of the version before, empty for the first one. */
    readonly baseDigest: string;
    readonly digest: string;
    readonly author: string;
    readonly time: string;
    readonly reason: string;
    readonly policy: Policy;
}

/** An entry of the log that did not become a version. */
export interface RejectedEntry {
    readonly entry: PolicyLogEntry;
    readonly reason: string;
}

/** The versions that follow from a log, oldest first, and the entries that do not count. */
export interface PolicyChain {
    readonly versions: readonly PolicyVersion[];
    readonly rejected: readonly RejectedEntry[];
}

/** Who changes the policy, when and why. */
export interface ChangeMetadata {
    readonly author: string;
    /** ISO 8601 time in UTC. */
    readonly time: string;
    readonly reason: string;
}
