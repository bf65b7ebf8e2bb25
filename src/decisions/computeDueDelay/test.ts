import { computeDueDelay } from "./index";

const targetLatencyMs = 300;

describe("computeSlotDue at a deep service that everything depends on", () => {
    it("puts the calls for important requests before those for less important ones", () => {
        const important = computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.01);
        const other = computeDueDelay({ nested: true, rank: 2, targetLatencyMs }, 0.01);
        expect(important).toBe(150);
        expect(other).toBe(750);
    });

    it("puts the few requests of callers first", () => {
        const direct = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 500 }, 0.01);
        expect(direct).toBeLessThan(computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.01));
    });
});

describe("computeSlotDue at a deep service with some requests of callers", () => {
    it("puts them before the calls for requests of their own rank", () => {
        const direct = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 250 }, 0.11);
        expect(direct).toBeLessThan(computeDueDelay({ nested: true, rank: 2, targetLatencyMs }, 0.11) / 2);
        expect(direct).toBeGreaterThan(computeDueDelay({ nested: true, rank: 0, targetLatencyMs }, 0.11));
    });
});

describe("computeSlotDue at a service that callers use themselves", () => {
    it("puts calls first, then requests of callers by rank", () => {
        const nested = computeDueDelay({ nested: true, rank: 0, targetLatencyMs: 1_200 }, 0.8);
        const booking = computeDueDelay({ nested: false, rank: 0, targetLatencyMs: 1_500 }, 0.8);
        const lookup = computeDueDelay({ nested: false, rank: 2, targetLatencyMs: 1_200 }, 0.8);
        expect(nested).toBeLessThan(booking);
        expect(booking).toBeLessThan(lookup);
    });
});
