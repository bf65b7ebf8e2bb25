/** Scenario of the demo: the Ertis call graph, scaled down to run on one machine. */
import { type Policy } from "../../src/policy/types";
import { type UpstreamRoute } from "../../src/standins/types";
import { ertisRoutes, loadErtisPolicy } from "../scenarios/ertis";
import { type Scenario } from "../types";

const slotsByService: Readonly<Record<string, number>> = { berthdesk: 40, slotbook: 40, fuelpost: 4, fleetwatch: 40 };
const maxQueueWaitMs = 200;

/** Returns the example policy with slots and queues scaled down to run on one machine. */
const createScaledPolicy = (): Policy => {
    const policy = loadErtisPolicy();
    const services = Object.entries(policy.services).map(([name, service]) => {
        const slots = slotsByService[name]!;
        return [name, { ...service, slots, queue: { maxLength: slots, maxWaitMs: maxQueueWaitMs } }] as const;
    });
    return { ...policy, services: Object.fromEntries(services) };
};

const fuelpostRoutes: readonly UpstreamRoute[] = [
    { method: "GET", pathPrefix: "/stock/", workMs: 30, idempotent: true, nestedCalls: [] },
    { method: "POST", pathPrefix: "/allocations", workMs: 40, idempotent: false, nestedCalls: [] },
];

/** Creates the scenario of the demo. The same seed gives the same load. */
export const createDemoScenario = (seed: number): Scenario => ({
    name: "ertis-fuelpost-slow",
    seed,
    policy: createScaledPolicy(),
    region: "kz-north",
    entryServices: ["berthdesk", "fleetwatch"],
    upstreamRoutes: { ...ertisRoutes, fuelpost: fuelpostRoutes },
    classes: [
        { name: "booking", entry: "berthdesk", method: "POST", path: "/bookings", ratePerSecond: 40, keyed: true },
        {
            name: "allocation",
            entry: "berthdesk",
            method: "POST",
            path: "/fuel-orders",
            ratePerSecond: 20,
            keyed: true,
        },
        { name: "fuel look-up", entry: "berthdesk", method: "GET", path: "/fuel/2", ratePerSecond: 60, keyed: false },
        {
            name: "berth look-up",
            entry: "berthdesk",
            method: "GET",
            path: "/berths/7",
            ratePerSecond: 80,
            keyed: false,
        },
    ],
    attemptTimeoutMs: 1_500,
    maxAttempts: 4,
    maxUsefulLatencyMs: 2_000,
    triggerService: "fuelpost",
    triggerFactor: 6,
    warmupEndMs: 4_000,
    triggerStartMs: 9_000,
    triggerEndMs: 17_000,
    durationMs: 27_000,
});
