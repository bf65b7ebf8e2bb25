import { createHash } from "node:crypto";

/** Computes the weight of a candidate for a key, by which rendezvous hashing ranks the candidates. */
export const computeHashWeight = (key: string, candidate: string): bigint =>
    createHash("sha256").update(candidate).update("\n").update(key).digest().readBigUInt64BE(0);
