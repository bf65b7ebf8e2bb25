/** The Ertis call graph with the sizes of the brief. */
import ertisPolicy from "../../examples/ertis/policy.json";
import { type Policy } from "../../src/policy/types";
import { type LoadClass, type UpstreamRoute } from "../../src/standins/types";
import { loadPolicy } from "../_lib/loadPolicy";

/** What a call graph's upstreams do. */
export type UpstreamRoutes = Readonly<Record<string, readonly UpstreamRoute[]>>;

/** A kind of action, with the service at which it enters. */
export type EntryClass = LoadClass & { readonly entry: string; };

/** Loads the example's policy. */
export const loadErtisPolicy = (): Policy => loadPolicy(ertisPolicy);

/** What the upstreams of Ertis do for each route. */
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

/** What callers of Ertis do, at a total rate of 1; rates are multiplied by the scenario. */
export const ertisClasses: readonly EntryClass[] = [
    { name: "booking", entry: "berthdesk", method: "POST", path: "/bookings", ratePerSecond: 0.2, keyed: true },
    { name: "allocation", entry: "berthdesk", method: "POST", path: "/fuel-orders", ratePerSecond: 0.1, keyed: true },
    { name: "fuel look-up", entry: "berthdesk", method: "GET", path: "/fuel/2", ratePerSecond: 0.3, keyed: false },
    { name: "berth look-up", entry: "berthdesk", method: "GET", path: "/berths/7", ratePerSecond: 0.4, keyed: false },
];
