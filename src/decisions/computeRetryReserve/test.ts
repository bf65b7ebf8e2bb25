import { computeRetryReserve, computeRetryValue, retryValueCount } from "./index";

describe("computeRetryValue", () => {
    it("grows with the number of succeeded siblings, and puts important requests first", () => {
        const values = [2, 0].flatMap(rank =>
            [0, 1, 2, 3].map(succeededSiblings => computeRetryValue({ rank, succeededSiblings }))
        );
        expect(values).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
        expect(computeRetryValue({ rank: 0, succeededSiblings: 50 })).toBe(retryValueCount - 1);
    });
});

describe("computeRetryReserve", () => {
    it("leaves more of the budget to others the more of the calls are worth more", () => {
        const valueShares = [0.25, 0.25, 0, 0, 0, 0, 0.25, 0.25];
        const reserves = [7, 6, 1, 0].map(value => computeRetryReserve(value, valueShares));
        expect(reserves.map(reserve => Math.round(reserve * 100))).toEqual([30, 45, 60, 75]);
    });

    it("leaves only the share of direct requests where all calls are worth the same", () => {
        expect(computeRetryReserve(0, [1, 0, 0, 0, 0, 0, 0, 0])).toBe(0.3);
    });
});
