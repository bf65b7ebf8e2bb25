import { type Death, isQuarantined, recordDeath, type SuspectKind, type SuspectRecord } from "./index";

const createDeath = (endpoint: string, atMs: number): Death => ({ endpoint, atMs });

const recordDeaths = (deaths: readonly Death[]): SuspectRecord =>
    deaths.reduce<SuspectRecord>(recordDeath, { deaths: [] });

type Case = readonly [string, readonly Death[], SuspectKind, number, boolean];

const cases: readonly Case[] = [
    ["one death of an idempotent request", [createDeath("a", 0)], "idempotent", 1_000, false],
    ["two deaths at two endpoints at once", [createDeath("a", 0), createDeath("b", 5)], "idempotent", 10, true],
    ["two requests of one incident", [createDeath("a", 0), createDeath("a", 5)], "idempotent", 10, false],
    ["two incidents at one endpoint", [createDeath("a", 0), createDeath("a", 5_000)], "keyed", 6_000, true],
    ["one death of an unkeyed, non-idempotent request", [createDeath("a", 0)], "unkeyed", 1_000, true],
    ["no death", [], "unkeyed", 1_000, false],
    ["two deaths, one of them long ago", [createDeath("a", 0), createDeath("b", 59_000)], "idempotent", 60_000, false],
];

describe("isQuarantined", () => {
    it.each(cases)("judges %s", (name, deaths, kind, nowMs, expected) => {
        expect(isQuarantined(recordDeaths(deaths), kind, nowMs)).toBe(expected);
    });

    it("keeps no more deaths than it needs", () => {
        const deaths = [0, 2_000, 4_000, 6_000].map(atMs => createDeath("a", atMs));
        expect(recordDeaths(deaths).deaths.map(death => death.atMs)).toEqual([4_000, 6_000]);
    });
});
