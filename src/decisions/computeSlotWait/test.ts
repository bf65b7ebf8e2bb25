import { computeMaxSlotWait, computeSlotWait } from "./index";

describe("computeSlotWait", () => {
    it("is zero while there are slots, and grows with the queue", () => {
        expect(computeSlotWait({ inFlight: 9, queuedAhead: 0, limit: 10, meanServiceMs: 50 })).toBe(0);
        expect(computeSlotWait({ inFlight: 10, queuedAhead: 0, limit: 10, meanServiceMs: 50 })).toBe(5);
        expect(computeSlotWait({ inFlight: 10, queuedAhead: 19, limit: 10, meanServiceMs: 50 })).toBe(100);
    });
});

describe("computeMaxWait", () => {
    const order = { remainingMs: 2_000, targetLatencyMs: 500, meanServiceMs: 100 };

    it("lets a nested request wait as long as it can still finish", () => {
        expect(computeMaxSlotWait({ ...order, nested: true })).toBe(1_880);
    });

    it("lets a new request wait only while its answer would be of full value", () => {
        expect(computeMaxSlotWait({ ...order, nested: false })).toBe(380);
        expect(computeMaxSlotWait({ ...order, nested: false, meanServiceMs: 600 })).toBe(62.5);
    });

    it("never lets a request wait past its deadline", () => {
        expect(computeMaxSlotWait({ ...order, nested: false, remainingMs: 200 })).toBe(80);
    });
});
