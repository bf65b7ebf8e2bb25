import { judgeKey } from ".";

const bounds = { maxUseAgeMs: 4_750, maxDenialAgeMs: 2_500 };

describe("judgeKey", () => {
    it("accepts a known key up to the age at which it may have been withdrawn too long ago", () => {
        expect([0, 4_750, 4_751, Infinity].map(ageMs => judgeKey(true, ageMs, bounds)))
            .toEqual(["accepted", "accepted", "unproven", "unproven"]);
    });

    it("denies an unknown key only up to the age at which it must be known if it exists", () => {
        expect([0, 2_500, 2_501, Infinity].map(ageMs => judgeKey(false, ageMs, bounds)))
            .toEqual(["unknown", "unknown", "unproven", "unproven"]);
    });
});
