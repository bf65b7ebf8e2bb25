import fc from "fast-check";
import { decideAdmission, hasFreeSlot, type UpstreamOccupancy } from "./index";

const createOccupancy = (change: Partial<UpstreamOccupancy> = {}): UpstreamOccupancy => ({
    inFlight: 0,
    nonCriticalInFlight: 0,
    limit: 10,
    reservedShare: 0.3,
    queued: 0,
    maxQueued: 5,
    hasLessImportantQueued: false,
    hasPrecedingQueued: false,
    ...change,
});

describe("decideAdmission", () => {
    it.each(
        [
            ["runs a request while a slot is free", {}, "normal", "run"],
            [
                "queues a request behind others of its importance",
                { hasPrecedingQueued: true, queued: 1 },
                "normal",
                "queue",
            ],
            ["queues a request while no slot is free", { inFlight: 10 }, "critical", "queue"],
            [
                "reserves slots for critical requests",
                { inFlight: 7, nonCriticalInFlight: 7 },
                "normal",
                "queue",
            ],
            ["runs critical requests in reserved slots", { inFlight: 7, nonCriticalInFlight: 7 }, "critical", "run"],
            [
                "runs other requests in the slots that critical ones leave",
                { inFlight: 9, nonCriticalInFlight: 0 },
                "normal",
                "run",
            ],
            [
                "displaces a less important request from the full queue",
                { inFlight: 10, queued: 5, hasLessImportantQueued: true },
                "critical",
                "displace",
            ],
            [
                "refuses a request while the slots and the queue are full",
                { inFlight: 10, queued: 5 },
                "critical",
                "refuse",
            ],
        ] as const,
    )("%s", (name, change, importance, expected) => {
        expect(decideAdmission(importance, createOccupancy(change))).toBe(expected);
    });

    it("never refuses a critical request where it would run or queue a less important one", () => {
        const occupancy = fc.record({
            inFlight: fc.nat(20),
            nonCriticalInFlight: fc.nat(20),
            limit: fc.double({ min: 1, max: 20, noNaN: true }),
            reservedShare: fc.double({ min: 0, max: 0.9, noNaN: true }),
            queued: fc.nat(6),
            maxQueued: fc.nat(6),
            hasLessImportantQueued: fc.boolean(),
            hasPrecedingQueued: fc.boolean(),
        });
        fc.assert(
            fc.property(occupancy, sample => {
                if (hasFreeSlot("normal", sample)) {
                    expect(hasFreeSlot("critical", sample)).toBe(true);
                }
                if (decideAdmission("normal", sample) !== "refuse") {
                    expect(decideAdmission("critical", sample)).not.toBe("refuse");
                }
            }),
            { seed: 18, numRuns: 1_000 },
        );
    });
});
