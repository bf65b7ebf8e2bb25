import { hash } from "node:crypto";

/** Characters of the digest that are kept, 6 bits each; 128 bits and more rule out that two keys share a digest. */
const digestCharacters = 22;

/** Computes the digest under which a key is looked up, so that tables, logs and memory never hold the key itself. */
export const computeKeyDigest = (key: string): string => hash("sha256", key, "base64url").slice(0, digestCharacters);
