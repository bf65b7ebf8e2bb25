import { type Crash, type CrashHistory, type IdempotencyKind, isQuarantined, recordCrash } from "./index";

const createCrash = (endpoint: string, atMs: number): Crash => ({ endpoint, atMs });

const recordCrashes = (crashes: readonly Crash[]): CrashHistory =>
    crashes.reduce<CrashHistory>(recordCrash, { crashes: [] });

type Case = readonly [string, readonly Crash[], IdempotencyKind, number, boolean];

const cases: readonly Case[] = [
    ["one death of an idempotent request", [createCrash("a", 0)], "idempotent", 1_000, false],
    ["two deaths at two endpoints at once", [createCrash("a", 0), createCrash("b", 5)], "idempotent", 10, true],
    ["two requests of one incident", [createCrash("a", 0), createCrash("a", 5)], "idempotent", 10, false],
    ["two incidents at one endpoint", [createCrash("a", 0), createCrash("a", 5_000)], "keyed", 6_000, true],
    ["one death of an unkeyed, non-idempotent request", [createCrash("a", 0)], "unkeyed", 1_000, true],
    ["no death", [], "unkeyed", 1_000, false],
    ["two deaths, one of them long ago", [createCrash("a", 0), createCrash("b", 59_000)], "idempotent", 60_000, false],
];

describe("isQuarantined", () => {
    it.each(cases)("judges %s", (name, crashes, kind, nowMs, expected) => {
        expect(isQuarantined(recordCrashes(crashes), kind, nowMs)).toBe(expected);
    });

    it("keeps no more deaths than it needs", () => {
        const crashes = [0, 2_000, 4_000, 6_000].map(atMs => createCrash("a", atMs));
        expect(recordCrashes(crashes).crashes.map(crash => crash.atMs)).toEqual([4_000, 6_000]);
    });
});
