import fc from "fast-check";
import { type AttemptOutcome, decideRetry, type RetryInput } from "./index";

const createInput = (change: Partial<RetryInput> = {}): RetryInput => ({
    outcome: "not-run",
    retryable: true,
    outcomeRecorded: false,
    nestedCallRefused: false,
    replayable: true,
    retriesLeft: 1,
    candidateCount: 1,
    remainingMs: 1_000,
    backoffMs: 10,
    ...change,
});

describe("decideRetry", () => {
    it.each(
        [
            ["a refusal, with retries, capacity and time left", {}, true],
            ["a completed call", { outcome: "completed" }, false],
            ["a refusal without retries left", { retriesLeft: 0 }, false],
            ["a refusal without an instance with free capacity", { candidateCount: 0 }, false],
            ["a refusal without time left", { remainingMs: 11 }, false],
            ["a refusal without the body", { replayable: false }, false],
            ["a refusal of a nested call", { nestedCallRefused: true }, false],
            ["a failure that its home has recorded", { outcome: "failed", outcomeRecorded: true }, false],
            ["a lost answer to a request that is safe to retry", { outcome: "unknown" }, true],
            ["a lost answer to a request that is not safe to retry", { outcome: "unknown", retryable: false }, false],
            ["a refusal of a request that is not safe to retry", { retryable: false }, true],
        ] as const,
    )("decides on %s", (name, change, expected) => {
        expect(decideRetry(createInput(change))).toBe(expected);
    });

    it("never retries a request that may have run and is not safe to retry", () => {
        const outcomes = fc.constantFrom<AttemptOutcome>("completed", "failed", "unknown");
        fc.assert(
            fc.property(
                outcomes,
                fc.nat(20),
                fc.nat(20),
                fc.nat(9_000),
                (outcome, retriesLeft, candidateCount, remainingMs) => {
                    const input = createInput({
                        outcome,
                        retryable: false,
                        retriesLeft,
                        candidateCount,
                        remainingMs,
                    });
                    expect(decideRetry(input)).toBe(false);
                },
            ),
            { seed: 19, numRuns: 500 },
        );
    });
});
