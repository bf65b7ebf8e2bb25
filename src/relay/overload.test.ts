import { type Route } from "../routing/types";
import { chainRoutes, createChainLoad } from "../testing/createChainLoad";
import { createDeepReadLoad, deepReadRoutes } from "../testing/createDeepReadLoad";
import { createFanOutLoad, fanOutRoutes } from "../testing/createFanOutLoad";
import { type RequestCounts, type VirtualRelayCallers } from "../testing/virtualRelayCallers";

const seeds = [1, 2, 3];
const fromSecond = 1;
const toSecond = 25;
const endMs = 28_000;

/** Runs a load once per seed. Returns a function that computes the share of a route's requests with an outcome. */
const runSeeds = (run: (seed: number) => VirtualRelayCallers) => {
    const runs = seeds.map(run);
    return (
        route: Route,
        outcome: Exclude<keyof RequestCounts, "sent">,
        [from, to]: readonly [number, number] = [fromSecond, toSecond],
    ): number => {
        const counts = runs.map(callers => callers.count(route, from, to));
        const sum = (key: keyof RequestCounts): number => counts.reduce((total, count) => total + count[key], 0);
        return sum(outcome) / sum("sent");
    };
};

describe("an uncongested load", () => {
    it("is served within the target latency", () => {
        const computeShare = runSeeds(seed => {
            const { clock, callers } = createChainLoad(seed, () => 1);
            clock.runUntil(endMs);
            return callers;
        });
        [chainRoutes.lookup, chainRoutes.booking, chainRoutes.fuel].forEach(route =>
            expect(computeShare(route, "inTarget")).toBeGreaterThan(0.98)
        );
    });
});

describe("a usual load that keeps nine tenths of a service deep in the graph busy", () => {
    // Guards against refusing every other request of a route as soon as an answer reports some congestion.
    it("is served but for a few less important requests", () => {
        const computeShare = runSeeds(seed => {
            const { clock, callers } = createDeepReadLoad(seed, () => 1);
            clock.runUntil(endMs);
            return callers;
        });
        expect(computeShare(deepReadRoutes.booking, "inTarget")).toBeGreaterThan(0.98);
        expect(computeShare(deepReadRoutes.lookup, "inTarget")).toBeGreaterThan(0.95);
    });
});

describe("an overload while a nested service lacks one of three instances", () => {
    /**
     * Share of the lookups that the remaining slots could serve in addition to all bookings if no slot time were
     * wasted.
     */
    const maxLookupShare = 0.54;

    it("serves important requests, half of the feasible lookups and most direct requests to the service", () => {
        const computeShare = runSeeds(seed => {
            const { clock, fleet, callers } = createChainLoad(seed, atMs => atMs < 20_000 ? 1.7 : 1);
            clock.runUntil(5_000);
            fleet.removeInstances("depot", 1);
            clock.runUntil(20_000);
            fleet.removeInstances("depot", 0);
            clock.runUntil(endMs);
            return callers;
        });
        expect(computeShare(chainRoutes.booking, "inTarget")).toBeGreaterThan(0.95);
        expect(computeShare(chainRoutes.lookup, "inTarget")).toBeGreaterThan(maxLookupShare / 2);
        expect(computeShare(chainRoutes.fuel, "inTarget")).toBeGreaterThan(0.75);
    });
});

describe("an overload while one instance of a nested service is slow", () => {
    it("serves important routes and those without the service, and favours the few direct requests to it", () => {
        const computeShare = runSeeds(seed => {
            const { clock, fleet, callers } = createFanOutLoad(seed, atMs => atMs < 20_000 ? 1.45 : 0.9);
            const [slow] = fleet.listUpstreams("ledger");
            clock.runUntil(7_000);
            slow!.updateWorkFactor(4);
            clock.runUntil(13_000);
            slow!.updateWorkFactor(1);
            clock.runUntil(endMs);
            return callers;
        });
        expect(computeShare(fanOutRoutes.sweep, "inTarget")).toBeGreaterThan(0.95);
        expect(computeShare(fanOutRoutes.model, "inTarget")).toBeGreaterThan(0.9);
        expect(computeShare(fanOutRoutes.signoff, "inTarget"))
            .toBeGreaterThan(computeShare(fanOutRoutes.fetch, "inTarget"));
        expect(computeShare(fanOutRoutes.fetch, "failed")).toBeLessThan(0.2);
    });
});

describe("a surge on routes with many sequential nested calls and a short timeout", () => {
    /** Share of each class that the users expect to be served on their days of high load. */
    const classFloor = 0.15;

    // Guards against admitting many trees of nested calls of which nearly all miss their deadline.
    it("serves the floor of the less important route with the most nested calls, and nearly all important ones", () => {
        const computeShare = runSeeds(seed => {
            const { clock, callers } = createFanOutLoad(
                seed,
                atMs => atMs < 20_000 ? 1.9 : 0.9,
                { fetchMs: 1_200, sweepMs: 1_500 },
            );
            clock.runUntil(endMs);
            return callers;
        });
        expect(computeShare(fanOutRoutes.fetch, "inTarget", [4, 20])).toBeGreaterThan(classFloor);
        expect(computeShare(fanOutRoutes.sweep, "inTarget", [4, 20])).toBeGreaterThan(0.95);
    });
});
