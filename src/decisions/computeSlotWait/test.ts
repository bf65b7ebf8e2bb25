import { computeMaxSlotWait, computeSlotWait } from "./index";

describe("computeSlotWait", () => {
    it("is zero while slots are free, and grows with the queue", () => {
        expect(computeSlotWait({ inFlight: 9, queuedAhead: 0, limit: 10, meanServiceMs: 50 })).toBe(0);
        expect(computeSlotWait({ inFlight: 10, queuedAhead: 0, limit: 10, meanServiceMs: 50 })).toBe(5);
        expect(computeSlotWait({ inFlight: 10, queuedAhead: 19, limit: 10, meanServiceMs: 50 })).toBe(100);
    });
});

describe("computeMaxSlotWait", () => {
    const input = { remainingMs: 2_000, targetLatencyMs: 500, meanServiceMs: 100 };

    it("lets a nested request wait as long as it can meet its deadline", () => {
        expect(computeMaxSlotWait({ ...input, nested: true })).toBe(1_880);
    });

    it("lets a direct request wait as long as it can meet the target latency, or an eighth of that", () => {
        expect(computeMaxSlotWait({ ...input, nested: false })).toBe(380);
        expect(computeMaxSlotWait({ ...input, nested: false, meanServiceMs: 600 })).toBe(62.5);
    });

    it("never lets a request wait past its deadline", () => {
        expect(computeMaxSlotWait({ ...input, nested: false, remainingMs: 200 })).toBe(80);
    });
});
