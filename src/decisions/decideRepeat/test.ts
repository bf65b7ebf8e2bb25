import { decideRepeat, type RepeatInput } from "./index";

const createInput = (changes: Partial<RepeatInput> = {}): RepeatInput => ({
    result: { kind: "may-have-run", cause: "connection" },
    idempotent: true,
    upstreamsTried: 1,
    maxUpstreams: 2,
    refusals: 0,
    remainingMs: 1_000,
    expectedMs: 30,
    ...changes,
});

const createAnswer = (status: number, refusedBelow = false): RepeatInput["result"] => ({
    kind: "answered",
    head: { status, rawHeaders: [] },
    body: Buffer.alloc(0),
    refusedBelow,
});

describe("decideRepeat", () => {
    it("never repeats what must not run twice and may have run", () => {
        const results: readonly RepeatInput["result"][] = [
            { kind: "may-have-run", cause: "connection" },
            { kind: "may-have-run", cause: "foreign-answer" },
            { kind: "may-have-run", cause: "timeout" },
            createAnswer(500),
        ];
        results.forEach(result => expect(decideRepeat(createInput({ result, idempotent: false }))).toBe("give-up"));
    });

    it("moves on what has not reached an upstream, whatever its kind", () => {
        const result = { kind: "not-run", reason: "full" } as const;
        expect(decideRepeat(createInput({ result, idempotent: false, upstreamsTried: 0 }))).toBe("move");
        expect(decideRepeat(createInput({ result, refusals: 3 }))).toBe("give-up");
    });

    it("counts what an upstream itself has refused as a repeat", () => {
        const result = { kind: "not-run", reason: "rejected" } as const;
        expect(decideRepeat(createInput({ result, idempotent: false }))).toBe("repeat");
        expect(decideRepeat(createInput({ result, upstreamsTried: 2 }))).toBe("give-up");
    });

    it("does not repeat in vain", () => {
        expect(decideRepeat(createInput({ result: createAnswer(200) }))).toBe("give-up");
        expect(decideRepeat(createInput({ result: createAnswer(500, true) }))).toBe("give-up");
        expect(decideRepeat(createInput({ remainingMs: 10 }))).toBe("give-up");
        expect(decideRepeat(createInput({ result: { kind: "not-run", reason: "quarantined" } }))).toBe("give-up");
    });

    it("repeats an idempotent request after an error or a broken connection", () => {
        expect(decideRepeat(createInput())).toBe("repeat");
        expect(decideRepeat(createInput({ result: createAnswer(500) }))).toBe("repeat");
    });
});
