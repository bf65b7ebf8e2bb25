import fc from "fast-check";
import { computeFairLevel, computeFairProbability } from ".";

/** Computes the share of all requests that is admitted if each sender sends in proportion to its demand. */
const computeAdmittedShare = (demands: readonly number[], share: number): number => {
    const level = computeFairLevel(demands, share);
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    return demands.reduce((sum, demand) => sum + demand * computeFairProbability(level, demand), 0) / total;
};

describe("computeFairLevel", () => {
    it("admits the share of all requests", () => {
        const demands = fc.array(fc.double({ min: 0.01, max: 100, noNaN: true }), { minLength: 1, maxLength: 50 });
        fc.assert(fc.property(demands, fc.double({ min: 0.1, max: 0.99, noNaN: true }), (senders, share) => {
            expect(computeAdmittedShare(senders, share)).toBeCloseTo(share, 6);
        }));
    });

    it("admits senders of the same demand alike", () => {
        const level = computeFairLevel([4, 4, 4], 0.3);
        expect(computeFairProbability(level, 4)).toBeCloseTo(0.3);
    });

    it("sheds the sender that sends most, and admits the others", () => {
        const level = computeFairLevel([30, 1, 1, 1, 1, 1, 1, 1, 1, 1], 0.5);
        expect(computeFairProbability(level, 1)).toBe(1);
        expect(computeFairProbability(level, 30)).toBeLessThan(0.4);
    });

    it("admits all if nothing is to be shed", () => {
        expect(computeFairLevel([1, 2], 1)).toBe(Infinity);
        expect(computeFairLevel([], 0.5)).toBe(Infinity);
    });
});
