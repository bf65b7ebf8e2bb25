import fc from "fast-check";
import {
    AimdLimit,
    FixedLimit,
    GradientLimit,
    type LimitAlgorithm,
    type LimitState,
    type LimitWindowStats,
} from "./index";

const bounds = { slots: 40 };

const createStats = (change: Partial<LimitWindowStats> = {}): LimitWindowStats => ({
    refused: 0,
    completed: 50,
    peakInFlight: 40,
    meanServiceMs: 20,
    ...change,
});

const runWindows = (algorithm: LimitAlgorithm, stats: LimitWindowStats, windows: number): LimitState =>
    Array.from({ length: windows }).reduce<LimitState>(
        state => algorithm.update(state, stats, bounds),
        algorithm.start(bounds),
    );

const algorithms: readonly (readonly [string, LimitAlgorithm])[] = [
    ["fixed", new FixedLimit()],
    ["AIMD", new AimdLimit()],
    ["gradient", new GradientLimit()],
];

describe.each(algorithms)("the %s limit", (name, algorithm) => {
    it("stays between 1 and the slots for any statistics", () => {
        const stats = fc.record({
            refused: fc.nat(100),
            completed: fc.nat(100),
            peakInFlight: fc.nat(100),
            meanServiceMs: fc.double({ min: 0.01, max: 60_000, noNaN: true }),
        });
        fc.assert(
            fc.property(fc.array(stats, { maxLength: 60 }), windows => {
                const last = windows.reduce<LimitState>(
                    (state, next) => algorithm.update(state, next, bounds),
                    algorithm.start(bounds),
                );
                expect(last.limit).toBeGreaterThanOrEqual(1);
                expect(last.limit).toBeLessThanOrEqual(bounds.slots);
            }),
            { seed: 16, numRuns: 300 },
        );
    });

    it("reaches the number of slots of a healthy upstream within 20 windows (2 s)", () => {
        expect(runWindows(algorithm, createStats(), 20).limit).toBe(bounds.slots);
    });
});

describe("the limit of an upstream that refuses requests", () => {
    it("falls under AIMD and under the gradient algorithm", () => {
        const refusing = createStats({ refused: 3 });
        expect(runWindows(new AimdLimit(), refusing, 20).limit).toBeLessThan(5);
        expect(runWindows(new GradientLimit(), refusing, 20).limit).toBeLessThan(5);
    });
});
