import { computeDueDelay } from "./index";

const targetLatencyMs = 300;

describe("computeDueDelay at a service with almost only nested requests", () => {
    it("puts more important nested requests before less important ones", () => {
        const importantDelayMs = computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.01);
        const unimportantDelayMs = computeDueDelay({ nested: true, rank: 2, targetLatencyMs }, 0.01);
        expect(importantDelayMs).toBe(150);
        expect(unimportantDelayMs).toBe(750);
    });

    it("puts the few direct requests first", () => {
        const directDelayMs = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 500 }, 0.01);
        expect(directDelayMs).toBeLessThan(computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.01));
    });
});

describe("computeDueDelay at a service with some direct requests", () => {
    it("puts direct requests before nested ones of the same rank", () => {
        const directDelayMs = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 250 }, 0.11);
        expect(directDelayMs).toBeLessThan(computeDueDelay({ nested: true, rank: 2, targetLatencyMs }, 0.11) / 2);
        expect(directDelayMs).toBeGreaterThan(computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.11));
    });
});

describe("computeDueDelay at a service with mostly direct requests", () => {
    it("puts nested requests first, then direct ones by rank", () => {
        const nestedDelayMs = computeDueDelay({ nested: true, rank: 0, targetLatencyMs: 1_200 }, 0.8);
        const importantDirectDelayMs = computeDueDelay({ nested: false, rank: 0, targetLatencyMs: 1_500 }, 0.8);
        const unimportantDirectDelayMs = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 1_200 }, 0.8);
        expect(nestedDelayMs).toBeLessThan(importantDirectDelayMs);
        expect(importantDirectDelayMs).toBeLessThan(unimportantDirectDelayMs);
    });
});
