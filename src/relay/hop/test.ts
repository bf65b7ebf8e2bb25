import fc from "fast-check";
import { createReport } from "../../testing/createReport";
import { encodeHopAnswer, encodeHopRequest, type HopRequestFields, parseHopAnswer, parseHopRequest } from "./headers";

const createFields = (overrides: Partial<HopRequestFields> = {}): HopRequestFields => ({
    route: "lookup",
    callerService: "gate",
    upstreamId: "i-1",
    idempotent: true,
    nested: false,
    isRetry: false,
    rank: 2,
    targetLatencyMs: 500,
    remainingMs: 900,
    version: 7,
    ...overrides,
});

describe("the fields of a request", () => {
    it("are read as they were written, whatever characters the names have", () => {
        const name = fc.string({ unit: "binary" });
        fc.assert(fc.property(name, name, name, (route, callerService, upstreamId) => {
            const fields = createFields({ route, callerService, upstreamId });
            const text = encodeHopRequest(fields);
            expect(text).toMatch(/^[ -~]*$/u);
            expect(parseHopRequest(text)).toEqual(fields);
        }));
    });

    it("are rejected if a number or an escape sequence is invalid", () => {
        const text = encodeHopRequest(createFields());
        expect(parseHopRequest(text.replace("900", "soon"))).toBeUndefined();
        expect(parseHopRequest(text.replace("900", "-1"))).toBeUndefined();
        expect(parseHopRequest(text.replace("lookup", "%zz"))).toBeUndefined();
        expect(parseHopRequest(`${text} 1`)).toBeUndefined();
    });
});

describe("the fields of an answer", () => {
    const report = createReport({
        congestion: 0.25,
        inFlight: 3,
        queued: 1,
        limit: 10,
        meanServiceMs: 12.5,
        directShare: 0.5,
        leaving: true,
        nestedCalls: 4,
        version: 7,
    });

    it("are read as they were written", () => {
        const fields = { outcome: { kind: "not-run", reason: "full" }, report } as const;
        expect(parseHopAnswer(encodeHopAnswer(fields))).toEqual(fields);
    });

    it("are rejected if a number is invalid, for it would spoil every mean that it enters", () => {
        const text = encodeHopAnswer({ outcome: { kind: "may-have-run" }, report });
        ["NaN", "Infinity", "-3", ""].forEach(number => {
            expect(parseHopAnswer(text.replace("12.5", number))).toBeUndefined();
        });
    });
});
