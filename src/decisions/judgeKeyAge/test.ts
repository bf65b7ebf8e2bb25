import fc from "fast-check";
import { keyClockMarginMs } from "../../constants";
import { judgeKeyAge } from "./index";

const retentionMs = 600_000;
const epochMs = Date.UTC(2026, 0, 1);

/** Creates a version 7 UUID with a timestamp in milliseconds since 1970. */
const createKey = (timestampMs: number): string => {
    const hex = timestampMs.toString(16).padStart(12, "0");
    return `${hex.slice(0, 8)}-${hex.slice(8)}-7abc-8def-0123456789ab`;
};

const judge = (timestampOffsetMs: number, nowOffsetMs: number) =>
    judgeKeyAge(createKey(epochMs + timestampOffsetMs), {
        startedAtMs: epochMs,
        nowMs: epochMs + nowOffsetMs,
        retentionMs,
    });

describe("judgeKeyAge", () => {
    it("accepts a key created after the start by more than the margin", () => {
        expect(judge(keyClockMarginMs + 1, 5_000)).toBe("fresh");
    });

    it("does not accept a key that an earlier incarnation may have accepted", () => {
        expect(judge(keyClockMarginMs, 5_000)).toBe("before-start");
    });

    it("does not accept a key from the future, nor one older than the records", () => {
        expect(judge(9_000, 5_000)).toBe("from-future");
        expect(judge(10_000, 1_000_000)).toBe("expired");
    });

    it.each(["order-1", "", "123e4567-e89b-42d3-a456-426614174000"])("accepts only version 7 UUIDs, not %j", key => {
        expect(judgeKeyAge(key, { startedAtMs: epochMs, nowMs: epochMs, retentionMs })).toBe("not-uuid-v7");
    });

    it("accepts a key in at most one of several incarnations, whatever the caller's clock shows", () => {
        const lifetimes = fc.array(fc.integer({ min: 0, max: 20_000 }), { minLength: 2, maxLength: 12 });
        fc.assert(
            fc.property(lifetimes, fc.integer({ min: -10_000, max: 120_000 }), (lifetimesMs, timestampOffsetMs) => {
                const key = createKey(epochMs + timestampOffsetMs);
                let startedAtMs = epochMs;
                let acceptedCount = 0;
                lifetimesMs.forEach(lifetimeMs => {
                    const endedAtMs = startedAtMs + lifetimeMs;
                    const timesMs = [startedAtMs, Math.floor((startedAtMs + endedAtMs) / 2), endedAtMs];
                    const isAccepted = timesMs.some(nowMs =>
                        judgeKeyAge(key, { startedAtMs, nowMs, retentionMs }) === "fresh"
                    );
                    acceptedCount += isAccepted ? 1 : 0;
                    startedAtMs = endedAtMs;
                });
                expect(acceptedCount).toBeLessThanOrEqual(1);
            }),
            { seed: 12, numRuns: 5_000 },
        );
    });
});
