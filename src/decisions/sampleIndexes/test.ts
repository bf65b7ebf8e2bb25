import { createRandom } from "../../_lib/createRandom";
import { sampleIndexes } from "./index";

const isAlwaysAccepted = (): boolean => true;

describe("sampleIndexes", () => {
    it("returns distinct accepted indexes in range, at most the given number", () => {
        const sampleRandom = createRandom(1);
        for (let length = 0; length < 40; length += 1) {
            const sampled = sampleIndexes(length, 3, sampleRandom, index => index % 2 === 0);
            expect(new Set(sampled).size).toBe(sampled.length);
            expect(sampled.length).toBeLessThanOrEqual(3);
            expect(sampled.every(index => index % 2 === 0 && index < length)).toBe(true);
        }
    });

    it("finds the only accepted index of a short list", () => {
        expect(sampleIndexes(6, 2, createRandom(2), index => index === 5)).toEqual([5]);
    });

    it("tries a bounded number of indexes, however long the list", () => {
        let tries = 0;
        const reject = (): boolean => {
            tries += 1;
            return false;
        };
        sampleIndexes(10_000, 2, createRandom(3), reject);
        expect(tries).toBeLessThanOrEqual(6);
    });

    it("returns each index of a long list about equally often", () => {
        const sampleRandom = createRandom(4);
        const counts = new Array<number>(75).fill(0);
        for (let round = 0; round < 7_500; round += 1) {
            sampleIndexes(75, 2, sampleRandom, isAlwaysAccepted).forEach(index => counts[index]! += 1);
        }
        expect(Math.min(...counts)).toBeGreaterThan(140);
        expect(Math.max(...counts)).toBeLessThan(260);
    });
});
