import fc from "fast-check";
import { decideAdmission, hasFreeSlot, type UpstreamOccupancy } from "./index";

const createOccupation = (change: Partial<UpstreamOccupancy> = {}): UpstreamOccupancy => ({
    inFlight: 0,
    nonCriticalInFlight: 0,
    limit: 10,
    reservedShare: 0.3,
    queued: 0,
    maxQueued: 5,
    hasLessImportantQueued: false,
    hasAsImportantQueued: false,
    ...change,
});

describe("decideAdmission", () => {
    it.each(
        [
            ["runs with a free slot", {}, "normal", "run"],
            ["queues behind its equals", { hasAsImportantQueued: true, queued: 1 }, "normal", "queue"],
            ["queues without a slot", { inFlight: 10 }, "critical", "queue"],
            [
                "leaves the reserved slots to critical requests",
                { inFlight: 7, nonCriticalInFlight: 7 },
                "normal",
                "queue",
            ],
            ["lets critical requests have them", { inFlight: 7, nonCriticalInFlight: 7 }, "critical", "run"],
            [
                "lets look-ups have what critical requests leave",
                { inFlight: 9, nonCriticalInFlight: 0 },
                "normal",
                "run",
            ],
            [
                "takes a lesser request's place",
                { inFlight: 10, queued: 5, hasLessImportantQueued: true },
                "critical",
                "displace",
            ],
            ["refuses when all is taken", { inFlight: 10, queued: 5 }, "critical", "refuse"],
        ] as const,
    )("%s", (name, change, importance, expected) => {
        expect(decideAdmission(importance, createOccupation(change))).toBe(expected);
    });

    it("never refuses a critical request where it would run or queue a lesser one", () => {
        const occupation = fc.record({
            inFlight: fc.nat(20),
            nonCriticalInFlight: fc.nat(20),
            limit: fc.double({ min: 1, max: 20, noNaN: true }),
            reservedShare: fc.double({ min: 0, max: 0.9, noNaN: true }),
            queued: fc.nat(6),
            maxQueued: fc.nat(6),
            hasLessImportantQueued: fc.boolean(),
            hasAsImportantQueued: fc.boolean(),
        });
        fc.assert(
            fc.property(occupation, found => {
                if (hasFreeSlot("normal", found)) {
                    expect(hasFreeSlot("critical", found)).toBe(true);
                }
                if (decideAdmission("normal", found) !== "refuse") {
                    expect(decideAdmission("critical", found)).not.toBe("refuse");
                }
            }),
            { seed: 18, numRuns: 1_000 },
        );
    });
});
