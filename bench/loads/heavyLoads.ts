import { chainRoutes, createChainLoad } from "../../src/testing/createChainLoad";
import { createDeepReadLoad, deepReadRoutes } from "../../src/testing/createDeepReadLoad";
import { createFanOutLoad, fanOutRoutes } from "../../src/testing/createFanOutLoad";
import { type createVirtualLoad } from "../../src/testing/createVirtualLoad";
import { type VirtualRelayCallers } from "../../src/testing/virtualRelayCallers";
import { type HeavyLoad, type ValuedRoute } from "./types";

const surgeEndMs = 16_000;
const endMs = 28_000;

type VirtualLoad = ReturnType<typeof createVirtualLoad>;

const chainValues: readonly ValuedRoute[] = [
    { route: chainRoutes.lookup, worth: 1, lateShare: 0.3 },
    { route: chainRoutes.booking, worth: 3, lateShare: 0.6 },
    { route: chainRoutes.fuel, worth: 1, lateShare: 0.3 },
];

const fanOutValues: readonly ValuedRoute[] = [
    { route: fanOutRoutes.fetch, worth: 1, lateShare: 0.3 },
    { route: fanOutRoutes.sweep, worth: 3, lateShare: 0.6 },
    { route: fanOutRoutes.model, worth: 1, lateShare: 0.3 },
    { route: fanOutRoutes.signoff, worth: 1, lateShare: 0.3 },
];

const deepReadValues: readonly ValuedRoute[] = [
    { route: deepReadRoutes.lookup, worth: 1, lateShare: 0.3 },
    { route: deepReadRoutes.booking, worth: 3, lateShare: 0.6 },
    { route: deepReadRoutes.status, worth: 1, lateShare: 0.3 },
    { route: deepReadRoutes.fuel, worth: 1, lateShare: 0.3 },
];

/** Returns the rate factor of a surge that begins with the load and ends after 16 s. */
const createSurge = (factor: number) => (atMs: number): number => atMs < surgeEndMs ? factor : 1;

const runToEnd = ({ clock, callers }: VirtualLoad): VirtualRelayCallers => {
    clock.runUntil(endMs);
    return callers;
};

/** Makes all instances of a service but the first `spared` ones slower from 5 s to 16 s. */
const runWithSlow = (load: VirtualLoad, service: string, factor: number, spared = 0): VirtualRelayCallers => {
    const slow = load.fleet.listUpstreams(service).slice(spared);
    load.clock.runUntil(5_000);
    slow.forEach(upstream => upstream.updateWorkFactor(factor));
    load.clock.runUntil(surgeEndMs);
    slow.forEach(upstream => upstream.updateWorkFactor(1));
    return runToEnd(load);
};

/** Takes an instance of a service away from 5 s to 16 s. */
const runWithout = (load: VirtualLoad, service: string): VirtualRelayCallers => {
    load.clock.runUntil(5_000);
    load.fleet.removeInstances(service, 1);
    load.clock.runUntil(surgeEndMs);
    load.fleet.removeInstances(service, 0);
    return runToEnd(load);
};

/** Load patterns under which not all requests can be served. */
export const heavyLoads: readonly HeavyLoad[] = [
    {
        name: "deep reads, usual load",
        valuedRoutes: deepReadValues,
        run: seed => runToEnd(createDeepReadLoad(seed, () => 1)),
    },
    {
        name: "deep reads, surge of 1.4",
        valuedRoutes: deepReadValues,
        run: seed => runToEnd(createDeepReadLoad(seed, createSurge(1.4))),
    },
    {
        name: "deep reads, surge of 2.5",
        valuedRoutes: deepReadValues,
        run: seed => runToEnd(createDeepReadLoad(seed, createSurge(2.5))),
    },
    {
        name: "deep reads, bottleneck twice as slow",
        valuedRoutes: deepReadValues,
        run: seed => runWithSlow(createDeepReadLoad(seed, () => 1), "depot", 2),
    },
    {
        name: "deep reads, one of three bottleneck instances away",
        valuedRoutes: deepReadValues,
        run: seed => runWithout(createDeepReadLoad(seed, createSurge(1.2)), "depot"),
    },
    {
        name: "chain, surge of 1.7 and one of three bottleneck instances away",
        valuedRoutes: chainValues,
        run: seed => runWithout(createChainLoad(seed, createSurge(1.7)), "depot"),
    },
    {
        name: "fan-out, surge of 1.45 and one bottleneck instance 4 times slower",
        valuedRoutes: fanOutValues,
        run: seed => runWithSlow(createFanOutLoad(seed, createSurge(1.45)), "ledger", 4, 3),
    },
    {
        name: "fan-out, surge of 1.9 with short timeouts",
        valuedRoutes: fanOutValues,
        run: seed => runToEnd(createFanOutLoad(seed, createSurge(1.9), { fetchMs: 1_200, sweepMs: 1_500 })),
    },
];
