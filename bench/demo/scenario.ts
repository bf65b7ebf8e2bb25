/** The Ertis call graph of the demo, with scaled slots. */
import ertisPolicy from "../../examples/ertis/policy.json";
import { checkPolicy } from "../../src/policy/checkPolicy";
import { type Policy } from "../../src/policy/types";
import { type Scenario } from "../types";

const slotsByService: Readonly<Record<string, number>> = { berthdesk: 40, slotbook: 40, fuelpost: 4, fleetwatch: 40 };
const queueWaitMs = 200;

/** Scales the slots and queues of the example's policy to one machine. */
const createScaledPolicy = (): Policy => {
    const checked = checkPolicy(ertisPolicy);
    if (!checked.ok) {
        throw new Error(`the example's policy has faults: ${JSON.stringify(checked.faults)}`);
    }
    const services = Object.entries(checked.value.services).map(([name, service]) => {
        const slots = slotsByService[name]!;
        return [name, { ...service, slots, queue: { maxLength: slots, maxWaitMs: queueWaitMs } }] as const;
    });
    return { ...checked.value, services: Object.fromEntries(services) };
};

/** Creates the scenario of the demo. */
export const createDemoScenario = (seed: number): Scenario => ({
    name: "ertis-fuelpost-slow",
    seed,
    policy: createScaledPolicy(),
    region: "kz-north",
    entryServices: ["berthdesk", "fleetwatch"],
    upstreamRoutes: {
        berthdesk: [
            {
                method: "GET",
                pathPrefix: "/berths/",
                workMs: 4,
                idempotent: true,
                children: [
                    { service: "slotbook", method: "GET", path: "/slots/7" },
                    { service: "fleetwatch", method: "GET", path: "/barges/12" },
                ],
            },
            {
                method: "GET",
                pathPrefix: "/fuel/",
                workMs: 4,
                idempotent: true,
                children: [{ service: "fuelpost", method: "GET", path: "/stock/2" }],
            },
            {
                method: "POST",
                pathPrefix: "/bookings",
                workMs: 4,
                idempotent: false,
                children: [{ service: "slotbook", method: "POST", path: "/confirmations" }],
            },
            {
                method: "POST",
                pathPrefix: "/fuel-orders",
                workMs: 4,
                idempotent: false,
                children: [{ service: "fuelpost", method: "POST", path: "/allocations" }],
            },
        ],
        slotbook: [
            { method: "GET", pathPrefix: "/slots/", workMs: 5, idempotent: true, children: [] },
            {
                method: "POST",
                pathPrefix: "/confirmations",
                workMs: 8,
                idempotent: false,
                children: [{ service: "fuelpost", method: "POST", path: "/allocations" }],
            },
        ],
        fuelpost: [
            { method: "GET", pathPrefix: "/stock/", workMs: 30, idempotent: true, children: [] },
            { method: "POST", pathPrefix: "/allocations", workMs: 40, idempotent: false, children: [] },
        ],
        fleetwatch: [{ method: "GET", pathPrefix: "/barges/", workMs: 5, idempotent: true, children: [] }],
    },
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
    attempts: 4,
    usefulMs: 2_000,
    triggerService: "fuelpost",
    triggerFactor: 6,
    settledMs: 4_000,
    triggerStartMs: 9_000,
    triggerEndMs: 17_000,
    durationMs: 27_000,
});
