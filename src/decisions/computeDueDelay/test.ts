import { computeDueDelay } from "./index";

const targetLatencyMs = 300;

describe("computeDueDelay at a service with almost only nested requests", () => {
    it("puts nested requests of an important rank before those of a less important one", () => {
        const important = computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.01);
        const unimportant = computeDueDelay({ nested: true, rank: 2, targetLatencyMs }, 0.01);
        expect(important).toBe(150);
        expect(unimportant).toBe(750);
    });

    it("puts the few direct requests first", () => {
        const direct = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 500 }, 0.01);
        expect(direct).toBeLessThan(computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.01));
    });
});

describe("computeDueDelay at a service with some direct requests", () => {
    it("puts direct requests before nested ones of the same rank", () => {
        const direct = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 250 }, 0.11);
        expect(direct).toBeLessThan(computeDueDelay({ nested: true, rank: 2, targetLatencyMs }, 0.11) / 2);
        expect(direct).toBeGreaterThan(computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.11));
    });
});

describe("computeDueDelay at a service with mostly direct requests", () => {
    it("puts nested requests first, then direct ones by rank", () => {
        const nested = computeDueDelay({ nested: true, rank: 0, targetLatencyMs: 1_200 }, 0.8);
        const importantDirect = computeDueDelay({ nested: false, rank: 0, targetLatencyMs: 1_500 }, 0.8);
        const unimportantDirect = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 1_200 }, 0.8);
        expect(nested).toBeLessThan(importantDirect);
        expect(importantDirect).toBeLessThan(unimportantDirect);
    });
});
