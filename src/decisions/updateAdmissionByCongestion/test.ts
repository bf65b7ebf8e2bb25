import { updateAdmissionByCongestion } from "./index";

const runWindows = (count: number, share: number, congestion: number, rank: number): number =>
    Array.from({ length: count }).reduce<number>(
        current =>
            updateAdmissionByCongestion(current, { answers: 10, congestionSum: 10 * congestion, windows: 1 }, rank),
        share,
    );

describe("updateEntryShare with a congested deep service", () => {
    it("makes less important routes give way first", () => {
        expect(runWindows(20, 1, 0.4, 2)).toBeLessThan(0.5);
        expect(runWindows(20, 1, 0.4, 0)).toBe(1);
    });

    it("makes the most important routes give way when the congestion still grows", () => {
        expect(runWindows(20, 1, 0.9, 0)).toBeLessThan(0.6);
    });

    it("shuts no route out", () => {
        expect(runWindows(1_000, 1, 1, 2)).toBe(0.1);
    });

    it("counts a long span as the windows that it consists of", () => {
        const long = updateAdmissionByCongestion(1, { answers: 1, congestionSum: 1, windows: 5 }, 2);
        expect(long).toBeCloseTo(runWindows(5, 1, 1, 2));
    });

    it("returns to letting everything in within ten seconds of the last congestion", () => {
        expect(runWindows(100, 0.1, 0, 2)).toBe(1);
    });
});
