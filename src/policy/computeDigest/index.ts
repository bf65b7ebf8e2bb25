import { createHash } from "node:crypto";
import stringify from "safe-stable-stringify";
import { type Policy } from "../types";

/** Computes the digest of a version: SHA-256, in hexadecimal, of the base's digest and the policy's canonical JSON. */
export const computeDigest = (baseDigest: string, policy: Policy): string =>
    createHash("sha256").update(baseDigest).update("\n").update(stringify(policy)).digest("hex");
