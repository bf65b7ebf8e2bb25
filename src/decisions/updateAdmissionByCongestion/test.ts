import { updateAdmissionByCongestion } from "./index";

const runWindows = (count: number, probability: number, congestion: number, rank: number): number =>
    Array.from({ length: count }).reduce<number>(
        current =>
            updateAdmissionByCongestion(current, { answers: 10, congestionSum: 10 * congestion, windows: 1 }, rank),
        probability,
    );

describe("updateAdmissionByCongestion", () => {
    it("sheds less important routes first", () => {
        expect(runWindows(20, 1, 0.4, 2)).toBeLessThan(0.5);
        expect(runWindows(20, 1, 0.4, 0)).toBe(1);
    });

    it("sheds the most important routes when the congestion still grows", () => {
        expect(runWindows(20, 1, 0.9, 0)).toBeLessThan(0.6);
    });

    it("keeps admitting some requests of each route", () => {
        expect(runWindows(1_000, 1, 1, 2)).toBe(0.1);
    });

    it("treats an update over several windows like several updates over one window", () => {
        const long = updateAdmissionByCongestion(1, { answers: 1, congestionSum: 1, windows: 5 }, 2);
        expect(long).toBeCloseTo(runWindows(5, 1, 1, 2));
    });

    it("admits all requests again within ten seconds after the last congestion", () => {
        expect(runWindows(100, 0.1, 0, 2)).toBe(1);
    });
});
