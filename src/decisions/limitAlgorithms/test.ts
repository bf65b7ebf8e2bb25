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

const createReadings = (change: Partial<LimitWindowStats> = {}): LimitWindowStats => ({
    refused: 0,
    completed: 50,
    peakInFlight: 40,
    meanServiceMs: 20,
    ...change,
});

const runWindows = (law: LimitAlgorithm, readings: LimitWindowStats, windows: number): LimitState =>
    Array.from({ length: windows }).reduce<LimitState>(
        state => law.update(state, readings, bounds),
        law.start(bounds),
    );

const laws: readonly (readonly [string, LimitAlgorithm])[] = [
    ["fixed", new FixedLimit()],
    ["additive", new AimdLimit()],
    ["gradient", new GradientLimit()],
];

describe.each(laws)("the %s limit", (name, law) => {
    it("stays between 1 and the slots for any readings", () => {
        const readings = fc.record({
            refused: fc.nat(100),
            completed: fc.nat(100),
            peakInFlight: fc.nat(100),
            meanServiceMs: fc.double({ min: 0.01, max: 60_000, noNaN: true }),
        });
        fc.assert(
            fc.property(fc.array(readings, { maxLength: 60 }), windows => {
                const last = windows.reduce<LimitState>(
                    (state, next) => law.update(state, next, bounds),
                    law.start(bounds),
                );
                expect(last.limit).toBeGreaterThanOrEqual(1);
                expect(last.limit).toBeLessThanOrEqual(bounds.slots);
            }),
            { seed: 16, numRuns: 300 },
        );
    });

    it("reaches the slots of a healthy upstream within 2 s", () => {
        expect(runWindows(law, createReadings(), 20).limit).toBe(bounds.slots);
    });
});

describe("an upstream that refuses", () => {
    it("is given fewer requests by the additive and the gradient limit", () => {
        const refusing = createReadings({ refused: 3 });
        expect(runWindows(new AimdLimit(), refusing, 20).limit).toBeLessThan(5);
        expect(runWindows(new GradientLimit(), refusing, 20).limit).toBeLessThan(5);
    });
});
