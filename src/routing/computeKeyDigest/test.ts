import { computeKeyDigest } from ".";

describe("computeKeyDigest", () => {
    it("gives each key a digest of its own that doesn't show the key", () => {
        const keys = Array.from({ length: 1_000 }, (unused, index) => `key-${index}`);
        const digests = keys.map(computeKeyDigest);
        expect(new Set(digests).size).toBe(keys.length);
        expect(digests.every(digest => /^[\w-]{22}$/u.test(digest))).toBe(true);
        expect(computeKeyDigest("key-7")).toBe(digests[7]);
    });
});
