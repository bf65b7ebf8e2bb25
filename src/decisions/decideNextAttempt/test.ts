import { decideNextAttempt, type NextAttemptInput } from "./index";

const createInput = (changes: Partial<NextAttemptInput> = {}): NextAttemptInput => ({
    result: { kind: "may-have-run", cause: "connection" },
    idempotent: true,
    upstreamsTried: 1,
    maxUpstreams: 2,
    unreachedCount: 0,
    remainingMs: 1_000,
    expectedAnswerMs: 30,
    ...changes,
});

const createAnswer = (status: number, nestedCallRefused = false): NextAttemptInput["result"] => ({
    kind: "answered",
    head: { status, rawHeaders: [] },
    body: Buffer.alloc(0),
    nestedCallRefused,
});

describe("decideNextAttempt", () => {
    it("never retries a non-idempotent request that may have run", () => {
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

    it("reroutes a request that has reached no upstream, idempotent or not", () => {
        const result = { kind: "not-run", reason: "full" } as const;
        expect(decideNextAttempt(createInput({ result, idempotent: false, upstreamsTried: 0 }))).toBe("reroute");
        expect(decideNextAttempt(createInput({ result, unreachedCount: 3 }))).toBe("give-up");
    });

    it("counts another attempt as a retry after the upstream itself refused the request", () => {
        const result = { kind: "not-run", reason: "rejected" } as const;
        expect(decideNextAttempt(createInput({ result, idempotent: false }))).toBe("retry");
        expect(decideNextAttempt(createInput({ result, upstreamsTried: 2 }))).toBe("give-up");
    });

    it("gives up when another attempt cannot succeed", () => {
        expect(decideNextAttempt(createInput({ result: createAnswer(200) }))).toBe("give-up");
        expect(decideNextAttempt(createInput({ result: createAnswer(500, true) }))).toBe("give-up");
        expect(decideNextAttempt(createInput({ remainingMs: 10 }))).toBe("give-up");
        expect(decideNextAttempt(createInput({ result: { kind: "not-run", reason: "quarantined" } }))).toBe("give-up");
    });

    it("retries an idempotent request after an error or a lost connection", () => {
        expect(decideNextAttempt(createInput())).toBe("retry");
        expect(decideNextAttempt(createInput({ result: createAnswer(500) }))).toBe("retry");
    });
});
