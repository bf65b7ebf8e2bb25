import { createHash } from "node:crypto";
import stringify from "safe-stable-stringify";
import { type Policy } from "../types";

/** Computes a version's digest: hexadecimal SHA-256 of its base version's digest and the policy's canonical JSON. */
export const computeDigest = (baseDigest: string, policy: Policy): string =>
    createHash("sha256").update(baseDigest).update("\n").update(stringify(policy)).digest("hex");
