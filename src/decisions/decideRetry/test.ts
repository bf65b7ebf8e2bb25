import fc from "fast-check";
import { type AttemptOutcome, decideRetry, type RetryInput } from "./index";

const createSituation = (change: Partial<RetryInput> = {}): RetryInput => ({
    outcome: "not-run",
    retryable: true,
    recorded: false,
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
            ["a refusal, with allowance, room and time", {}, true],
            ["a completed call", { outcome: "completed" }, false],
            ["without allowance", { retriesLeft: 0 }, false],
            ["without an instance that has room", { candidateCount: 0 }, false],
            ["without time", { remainingMs: 11 }, false],
            ["without the body", { replayable: false }, false],
            ["a refusal further on", { nestedCallRefused: true }, false],
            ["a failure that its home has recorded", { outcome: "failed", recorded: true }, false],
            ["a lost answer of a request that may be repeated", { outcome: "unknown" }, true],
            ["a lost answer of a request that must not", { outcome: "unknown", retryable: false }, false],
            ["a refusal of a request that must not be repeated", { retryable: false }, true],
        ] as const,
    )("decides on %s", (name, change, expected) => {
        expect(decideRetry(createSituation(change))).toBe(expected);
    });

    it("never repeats what must not be repeated and may have run", () => {
        const end = fc.constantFrom<AttemptOutcome>("completed", "failed", "unknown");
        fc.assert(
            fc.property(end, fc.nat(20), fc.nat(20), fc.nat(9_000), (found, retriesLeft, candidates, remainingMs) => {
                const situation = createSituation({
                    outcome: found,
                    retryable: false,
                    retriesLeft,
                    candidateCount: candidates,
                    remainingMs,
                });
                expect(decideRetry(situation)).toBe(false);
            }),
            { seed: 19, numRuns: 500 },
        );
    });
});
