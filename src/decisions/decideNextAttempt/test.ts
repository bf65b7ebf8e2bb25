import { decideNextAttempt, type NextAttemptInput } from "./index";

const createInput = (changes: Partial<NextAttemptInput> = {}): NextAttemptInput => ({
    result: { kind: "may-have-run", cause: "connection" },
    idempotent: true,
    upstreamsTried: 1,
    maxUpstreams: 2,
    refusals: 0,
    remainingMs: 1_000,
    expectedMs: 30,
    ...changes,
});

const createAnswer = (status: number, nestedCallRefused = false): NextAttemptInput["result"] => ({
    kind: "answered",
    head: { status, rawHeaders: [] },
    body: Buffer.alloc(0),
    nestedCallRefused,
});

describe("decideNextAttempt", () => {
    it("never repeats what must not run twice and may have run", () => {
        const results: readonly NextAttemptInput["result"][] = [
            { kind: "may-have-run", cause: "connection" },
            { kind: "may-have-run", cause: "foreign-answer" },
            { kind: "may-have-run", cause: "timeout" },
            createAnswer(500),
        ];
        results.forEach(result =>
            expect(decideNextAttempt(createInput({ result, idempotent: false }))).toBe("give-up")
        );
    });

    it("moves on what has not reached an upstream, whatever its kind", () => {
        const result = { kind: "not-run", reason: "full" } as const;
        expect(decideNextAttempt(createInput({ result, idempotent: false, upstreamsTried: 0 }))).toBe("reroute");
        expect(decideNextAttempt(createInput({ result, refusals: 3 }))).toBe("give-up");
    });

    it("counts what an upstream itself has refused as a repeat", () => {
        const result = { kind: "not-run", reason: "rejected" } as const;
        expect(decideNextAttempt(createInput({ result, idempotent: false }))).toBe("retry");
        expect(decideNextAttempt(createInput({ result, upstreamsTried: 2 }))).toBe("give-up");
    });

    it("does not repeat in vain", () => {
        expect(decideNextAttempt(createInput({ result: createAnswer(200) }))).toBe("give-up");
        expect(decideNextAttempt(createInput({ result: createAnswer(500, true) }))).toBe("give-up");
        expect(decideNextAttempt(createInput({ remainingMs: 10 }))).toBe("give-up");
        expect(decideNextAttempt(createInput({ result: { kind: "not-run", reason: "quarantined" } }))).toBe("give-up");
    });

    it("repeats an idempotent request after an error or a broken connection", () => {
        expect(decideNextAttempt(createInput())).toBe("retry");
        expect(decideNextAttempt(createInput({ result: createAnswer(500) }))).toBe("retry");
    });
});
