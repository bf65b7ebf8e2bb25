/** Policy, upstream routes and action classes of the Ertis call graph. */
import ertisPolicy from "../../examples/ertis/policy.json";
import { type Policy } from "../../src/policy/types";
import { type LoadClass, type UpstreamRoute } from "../../src/standins/types";
import { loadPolicy } from "../_lib/loadPolicy";

/** Simulated routes of all upstreams in a call graph, by service. */
export type UpstreamRoutes = Readonly<Record<string, readonly UpstreamRoute[]>>;

/** A class of actions, with the name of the service that receives their requests from callers. */
export type EntryClass = LoadClass & { readonly entry: string; };

/** Returns the example policy in `examples/ertis`. Throws if it is invalid. */
export const loadErtisPolicy = (): Policy => loadPolicy(ertisPolicy);

/** Routes of the Ertis upstreams, with their work times and nested calls, by service. */
export const ertisRoutes: UpstreamRoutes = {
    berthdesk: [
        {
            method: "GET",
            pathPrefix: "/berths/",
            workMs: 4,
            idempotent: true,
            nestedCalls: [
                { service: "slotbook", method: "GET", path: "/slots/7" },
                { service: "fleetwatch", method: "GET", path: "/barges/12" },
            ],
        },
        {
            method: "GET",
            pathPrefix: "/fuel/",
            workMs: 4,
            idempotent: true,
            nestedCalls: [{ service: "fuelpost", method: "GET", path: "/stock/2" }],
        },
        {
            method: "POST",
            pathPrefix: "/bookings",
            workMs: 4,
            idempotent: false,
            nestedCalls: [{ service: "slotbook", method: "POST", path: "/confirmations" }],
        },
        {
            method: "POST",
            pathPrefix: "/fuel-orders",
            workMs: 4,
            idempotent: false,
            nestedCalls: [{ service: "fuelpost", method: "POST", path: "/allocations" }],
        },
    ],
    slotbook: [
        { method: "GET", pathPrefix: "/slots/", workMs: 5, idempotent: true, nestedCalls: [] },
        {
            method: "POST",
            pathPrefix: "/confirmations",
            workMs: 8,
            idempotent: false,
            nestedCalls: [{ service: "fuelpost", method: "POST", path: "/allocations" }],
        },
    ],
    fuelpost: [
        { method: "GET", pathPrefix: "/stock/", workMs: 40, idempotent: true, nestedCalls: [] },
        { method: "POST", pathPrefix: "/allocations", workMs: 40, idempotent: false, nestedCalls: [] },
    ],
    fleetwatch: [{ method: "GET", pathPrefix: "/barges/", workMs: 5, idempotent: true, nestedCalls: [] }],
};

/** Action classes of the Ertis callers. The rates add up to 1 action per second, and experiments scale them. */
export const ertisClasses: readonly EntryClass[] = [
    { name: "booking", entry: "berthdesk", method: "POST", path: "/bookings", ratePerSecond: 0.2, keyed: true },
    { name: "allocation", entry: "berthdesk", method: "POST", path: "/fuel-orders", ratePerSecond: 0.1, keyed: true },
    { name: "fuel look-up", entry: "berthdesk", method: "GET", path: "/fuel/2", ratePerSecond: 0.3, keyed: false },
    { name: "berth look-up", entry: "berthdesk", method: "GET", path: "/berths/7", ratePerSecond: 0.4, keyed: false },
];
