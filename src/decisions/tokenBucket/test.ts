import fc from "fast-check";
import { computeTokenWaitMs, createTokenBucket, takeToken, updateTokenRate } from "./index";

const windowMs = 4_000;
/** Factor and number of requests by which a window may exceed the rate of an upstream. */
const overshootFactor = 1.5;
const overshootCount = 5;

/** A step of a history: requests or a new rate, after a pause. */
type Step =
    | { readonly kind: "requests"; readonly pauseMs: number; readonly count: number; }
    | { readonly kind: "rate"; readonly pauseMs: number; readonly ratePerSecond: number; };

const rates = fc.double({ min: 0, max: 60, noNaN: true });
const steps: fc.Arbitrary<readonly Step[]> = fc.array(
    fc.oneof(
        {
            weight: 9,
            arbitrary: fc.record({
                kind: fc.constant("requests" as const),
                pauseMs: fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 20_000 })),
                count: fc.integer({ min: 1, max: 80 }),
            }),
        },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constant("rate" as const),
                pauseMs: fc.integer({ min: 0, max: 3_000 }),
                ratePerSecond: rates,
            }),
        },
    ),
    { maxLength: 120, size: "max" },
);

/** Runs a history; returns the times of the requests that got a token, and the rates with their times. */
const runHistory = (initialRate: number, history: readonly Step[]) => {
    let nowMs = 0;
    let bucket = createTokenBucket(initialRate, nowMs);
    const times: number[] = [];
    const changes = [{ atMs: 0, ratePerSecond: initialRate }];
    history.forEach(step => {
        nowMs += step.pauseMs;
        if (step.kind === "rate") {
            bucket = updateTokenRate(bucket, step.ratePerSecond, nowMs);
            changes.push({ atMs: nowMs, ratePerSecond: step.ratePerSecond });
            return;
        }
        for (let request = 0; request < step.count; request += 1) {
            const next = takeToken(bucket, nowMs);
            bucket = next ?? bucket;
            times.push(...next ? [nowMs] : []);
        }
    });
    return { times, changes };
};

/** Sums what the rates allow between two times. */
const computeAllowed = (
    changes: readonly { readonly atMs: number; readonly ratePerSecond: number; }[],
    fromMs: number,
    toMs: number,
): number =>
    changes.reduce((sum, { atMs, ratePerSecond }, index) => {
        const endMs = Math.min(toMs, changes[index + 1]?.atMs ?? Infinity);
        return sum + Math.max(0, endMs - Math.max(fromMs, atMs)) * ratePerSecond / 1_000;
    }, 0);

describe("a token bucket", () => {
    // Guards against more requests than the limit that an upstream names.
    it("never admits more in four seconds than half above the rates, and five requests", () => {
        fc.assert(
            fc.property(rates, steps, (rate, history) => {
                const { times, changes } = runHistory(rate, history);
                times.forEach((fromMs, index) => {
                    const count = times.slice(index).filter(atMs => atMs < fromMs + windowMs).length;
                    const allowed = overshootFactor * computeAllowed(changes, fromMs, fromMs + windowMs);
                    expect(count).toBeLessThanOrEqual(allowed + overshootCount);
                });
            }),
            { numRuns: 500, seed: 24 },
        );
    });

    it("admits the rate when requests press", () => {
        fc.assert(
            fc.property(fc.double({ min: 0.5, max: 60, noNaN: true }), rate => {
                const history = Array.from(
                    { length: 2_000 },
                    () => ({ kind: "requests" as const, pauseMs: 10, count: 2 }),
                );
                const { times } = runHistory(rate, history);
                expect(times.length).toBeGreaterThanOrEqual(Math.floor(0.95 * rate * 20) - 1);
            }),
            { numRuns: 30, seed: 24 },
        );
    });

    it("tells when tokens will be there", () => {
        const bucket = createTokenBucket(4, 0);
        expect(computeTokenWaitMs(bucket, 1, 0)).toBe(250);
        expect(computeTokenWaitMs(bucket, 3, 0)).toBe(750);
        expect(computeTokenWaitMs(bucket, 1, 300)).toBe(0);
        expect(takeToken(bucket, 249)).toBeUndefined();
        expect(takeToken(bucket, 250)).toBeDefined();
    });

    it("lets a request through now and then at a rate of 0", () => {
        expect(computeTokenWaitMs(createTokenBucket(0, 0), 1, 0)).toBe(4_000);
    });
});
