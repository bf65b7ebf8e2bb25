import { type Route } from "../routing/types";
import { bargeRoutes, createBargeFleet } from "../testing/createBargeFleet";
import { createGridFleet, gridRoutes } from "../testing/createGridFleet";
import { type ClassCounts, type VirtualRelayCallers } from "../testing/virtualRelayCallers";

const seeds = [1, 2, 3];
const fromSecond = 1;
const toSecond = 25;
const endMs = 28_000;

/** Runs a load once per seed; returns a function that computes the share of a route's requests with an outcome. */
const runSeeds = (run: (seed: number) => VirtualRelayCallers) => {
    const runs = seeds.map(run);
    return (route: Route, outcome: Exclude<keyof ClassCounts, "asked">): number => {
        const counts = runs.map(callers => callers.count(route, fromSecond, toSecond));
        const sum = (key: keyof ClassCounts): number => counts.reduce((total, count) => total + count[key], 0);
        return sum(outcome) / sum("asked");
    };
};

describe("an uncongested load", () => {
    it("is served within the target latency", () => {
        const computeShare = runSeeds(seed => {
            const { clock, callers } = createBargeFleet(seed, () => 1);
            clock.runUntil(endMs);
            return callers;
        });
        [bargeRoutes.lookup, bargeRoutes.booking, bargeRoutes.fuel].forEach(route =>
            expect(computeShare(route, "inTarget")).toBeGreaterThan(0.98)
        );
    });
});

describe("a surge while a nested service has lost one of three instances", () => {
    /** Share of the lookups that the remaining slots could serve besides the bookings if no slot time were wasted. */
    const maxLookupShare = 0.54;

    it("serves important requests, half of the possible lookups and most direct requests to the service", () => {
        const computeShare = runSeeds(seed => {
            const { clock, fleet, callers } = createBargeFleet(seed, atMs => atMs < 20_000 ? 1.7 : 1);
            clock.runUntil(5_000);
            fleet.removeInstances("depot", 1);
            clock.runUntil(20_000);
            fleet.removeInstances("depot", 0);
            clock.runUntil(endMs);
            return callers;
        });
        expect(computeShare(bargeRoutes.booking, "inTarget")).toBeGreaterThan(0.95);
        expect(computeShare(bargeRoutes.lookup, "inTarget")).toBeGreaterThan(maxLookupShare / 2);
        expect(computeShare(bargeRoutes.fuel, "inTarget")).toBeGreaterThan(0.75);
    });
});

describe("a surge while one instance of a nested service is slow", () => {
    it("serves routes that don't need the service, and favours the few direct requests to it", () => {
        const computeShare = runSeeds(seed => {
            const { clock, fleet, callers } = createGridFleet(seed, atMs => atMs < 20_000 ? 1.45 : 0.9);
            const [slow] = fleet.listUpstreams("ledger");
            clock.runUntil(7_000);
            slow!.updateWorkFactor(4);
            clock.runUntil(13_000);
            slow!.updateWorkFactor(1);
            clock.runUntil(endMs);
            return callers;
        });
        expect(computeShare(gridRoutes.sweep, "inTarget")).toBeGreaterThan(0.95);
        expect(computeShare(gridRoutes.model, "inTarget")).toBeGreaterThan(0.9);
        expect(computeShare(gridRoutes.signoff, "inTarget"))
            .toBeGreaterThan(computeShare(gridRoutes.fetch, "inTarget"));
        expect(computeShare(gridRoutes.fetch, "failed")).toBeLessThan(0.2);
    });
});
