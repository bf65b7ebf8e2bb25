import fc from "fast-check";
import { chooseInstance, countAvailableInstances, type InstanceCandidate } from "./index";

const createCandidate = (change: Partial<InstanceCandidate> = {}): InstanceCandidate => ({
    endpoint: "store-a",
    failureDomain: "zone-a",
    outstandingCalls: 0,
    load: 0,
    leaving: false,
    isOutlier: false,
    ...change,
});

const remote = createCandidate({ endpoint: "store-b", failureDomain: "zone-b" });

const choose = (candidates: readonly InstanceCandidate[], triedEndpoints: readonly string[] = []): string | undefined =>
    chooseInstance(candidates, { failureDomain: "zone-a", triedEndpoints, randoms: [0, 0.99] })?.endpoint;

describe("chooseInstance", () => {
    it.each([
        ["its own failure domain", createCandidate(), "store-a"],
        ["another failure domain while its own has no free capacity", createCandidate({ load: 1 }), "store-b"],
        ["another failure domain while its own has only outliers", createCandidate({ isOutlier: true }), "store-b"],
        ["another failure domain while its own is leaving", createCandidate({ leaving: true }), "store-b"],
    ])("prefers %s", (name, local, expected) => {
        expect(choose([local, remote])).toBe(expected);
    });

    it("does not move load to another failure domain that has no free capacity either", () => {
        expect(choose([createCandidate({ load: 1 }), { ...remote, load: 1 }])).toBe("store-a");
    });

    it("chooses the one of two instances that has fewer outstanding calls", () => {
        const busy = createCandidate({ endpoint: "store-c", outstandingCalls: 5 });
        expect(choose([busy, createCandidate()])).toBe("store-a");
    });

    it("chooses an instance whenever one is neither leaving nor tried, and never another", () => {
        const candidate: fc.Arbitrary<InstanceCandidate> = fc.record({
            endpoint: fc.constantFrom("a", "b", "c", "d", "e"),
            failureDomain: fc.constantFrom("zone-a", "zone-b"),
            outstandingCalls: fc.nat(10),
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
                (list, tried, firstRandom, secondRandom) => {
                    const options = {
                        failureDomain: "zone-a",
                        triedEndpoints: tried,
                        randoms: [firstRandom, secondRandom] as const,
                    };
                    const chosen = chooseInstance(list, options);
                    const eligible = list.filter(item => !item.leaving && !tried.includes(item.endpoint));
                    expect(chosen === undefined).toBe(eligible.length === 0);
                    expect(chosen === undefined || eligible.includes(chosen)).toBe(true);
                    expect(countAvailableInstances(list, tried)).toBeLessThanOrEqual(eligible.length);
                },
            ),
            { seed: 17, numRuns: 500 },
        );
    });
});
