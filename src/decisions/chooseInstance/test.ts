import fc from "fast-check";
import { chooseInstance, countWithCapacity, type InstanceCandidate } from "./index";

const createCandidate = (change: Partial<InstanceCandidate> = {}): InstanceCandidate => ({
    endpoint: "store-a",
    failureDomain: "zone-a",
    outstanding: 0,
    load: 0,
    leaving: false,
    isOutlier: false,
    ...change,
});

const far = createCandidate({ endpoint: "store-b", failureDomain: "zone-b" });

const choose = (candidates: readonly InstanceCandidate[], tried: readonly string[] = []): string | undefined =>
    chooseInstance(candidates, { failureDomain: "zone-a", tried, randoms: [0, 0.99] })?.endpoint;

describe("chooseInstance", () => {
    it.each([
        ["the own failure domain", createCandidate(), "store-a"],
        ["another one while the own has no room", createCandidate({ load: 1 }), "store-b"],
        ["another one while the own is suspected", createCandidate({ isOutlier: true }), "store-b"],
        ["another one while the own is leaving", createCandidate({ leaving: true }), "store-b"],
    ])("prefers %s", (name, near, expected) => {
        expect(choose([near, far])).toBe(expected);
    });

    it("does not push load into the next failure domain when that has no room either", () => {
        expect(choose([createCandidate({ load: 1 }), { ...far, load: 1 }])).toBe("store-a");
    });

    it("takes the one with fewer calls under way of two", () => {
        const busy = createCandidate({ endpoint: "store-c", outstanding: 5 });
        expect(choose([busy, createCandidate()])).toBe("store-a");
    });

    it("never takes one that is leaving or was tried, and one of the others whenever there is one", () => {
        const candidate: fc.Arbitrary<InstanceCandidate> = fc.record({
            endpoint: fc.constantFrom("a", "b", "c", "d", "e"),
            failureDomain: fc.constantFrom("zone-a", "zone-b"),
            outstanding: fc.nat(10),
            load: fc.constantFrom(0, 0.5, 1),
            leaving: fc.boolean(),
            isOutlier: fc.boolean(),
        });
        const random = fc.double({ min: 0, max: 0.999, noNaN: true });
        const candidates = fc.uniqueArray(candidate, { selector: item => item.endpoint });
        fc.assert(
            fc.property(
                candidates,
                fc.subarray<string>(["a", "b", "c"]),
                random,
                random,
                (list, tried, first, second) => {
                    const options = { failureDomain: "zone-a", tried, randoms: [first, second] as const };
                    const chosen = chooseInstance(list, options);
                    const usable = list.filter(item => !item.leaving && !tried.includes(item.endpoint));
                    expect(chosen === undefined).toBe(usable.length === 0);
                    expect(chosen === undefined || usable.includes(chosen)).toBe(true);
                    expect(countWithCapacity(list, tried)).toBeLessThanOrEqual(usable.length);
                },
            ),
            { seed: 17, numRuns: 500 },
        );
    });
});
