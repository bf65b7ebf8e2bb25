import { computeAge } from ".";

const instant = { monotonicMs: 1_000, wallMs: 50_000 };

describe("computeAge", () => {
    it.each([
        ["both clocks run", { monotonicMs: 1_400, wallMs: 50_400 }, 400],
        ["the machine was suspended", { monotonicMs: 1_400, wallMs: 54_400 }, 4_400],
        ["the wall clock was set back", { monotonicMs: 1_400, wallMs: 47_000 }, 400],
        ["the wall clock was set forward", { monotonicMs: 1_400, wallMs: 52_800 }, 2_800],
        ["no time has passed", instant, 0],
    ])("is the longer of both times when %s", (unused, now, expected) => {
        expect(computeAge(instant, now)).toBe(expected);
    });
});
