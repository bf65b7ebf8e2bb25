import { type Crash, type CrashHistory, type IdempotencyKind, isQuarantined, recordCrash } from "./index";

const createCrash = (endpoint: string, atMs: number): Crash => ({ endpoint, atMs });

const recordCrashes = (crashes: readonly Crash[]): CrashHistory =>
    crashes.reduce<CrashHistory>(recordCrash, { crashes: [] });

type QuarantineCase = readonly [
    name: string,
    crashes: readonly Crash[],
    kind: IdempotencyKind,
    nowMs: number,
    expected: boolean,
];

const cases: readonly QuarantineCase[] = [
    ["one crash of an idempotent request", [createCrash("a", 0)], "idempotent", 1_000, false],
    ["two crashes at two endpoints at once", [createCrash("a", 0), createCrash("b", 5)], "idempotent", 10, true],
    ["two requests in one incident", [createCrash("a", 0), createCrash("a", 5)], "idempotent", 10, false],
    ["two incidents at one endpoint", [createCrash("a", 0), createCrash("a", 5_000)], "keyed", 6_000, true],
    ["one crash of an unkeyed, non-idempotent request", [createCrash("a", 0)], "unkeyed", 1_000, true],
    ["no crash", [], "unkeyed", 1_000, false],
    ["two crashes, one of them expired", [createCrash("a", 0), createCrash("b", 59_000)], "idempotent", 60_000, false],
];

describe("isQuarantined", () => {
    it.each(cases)("judges %s", (name, crashes, kind, nowMs, expected) => {
        expect(isQuarantined(recordCrashes(crashes), kind, nowMs)).toBe(expected);
    });

    // Guards against a request that comes for hours and crashes two upstreams in each minute.
    it("lets a request that keeps coming crash fewer and fewer upstreams", () => {
        let history: CrashHistory = { crashes: [] };
        const crashTimes: number[] = [];
        for (let nowMs = 0; nowMs < 3_600_000; nowMs += 2_500) {
            ["a", "b"].forEach((endpoint, index) => {
                if (!isQuarantined(history, "idempotent", nowMs + index)) {
                    crashTimes.push(nowMs);
                    history = recordCrash(history, createCrash(endpoint, nowMs + index));
                }
            });
        }
        expect(crashTimes.map(atMs => Math.round(atMs / 60_000))).toEqual([0, 0, 1, 3, 7, 15, 31]);
    });

    it("ends a quarantine after a minute at first", () => {
        const history = recordCrashes([createCrash("a", 0), createCrash("b", 5)]);
        expect(isQuarantined(history, "idempotent", 59_000)).toBe(true);
        expect(isQuarantined(history, "idempotent", 60_010)).toBe(false);
    });

    it("records no more crashes than the threshold needs", () => {
        const crashes = [0, 2_000, 4_000, 6_000].map(atMs => createCrash("a", atMs));
        expect(recordCrashes(crashes).crashes.map(crash => crash.atMs)).toEqual([4_000, 6_000]);
    });
});
