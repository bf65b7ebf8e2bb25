import { createHash } from "node:crypto";
import stringify from "safe-stable-stringify";
import { type Policy } from "../types";

/** Computes the digest of a version: SHA-256 over the base's digest and the canonical JSON of the policy. */
export const computeDigest = (baseDigest: string, policy: Policy): string =>
    createHash("sha256").update(baseDigest).update("\n").update(stringify(policy)).digest("hex");
