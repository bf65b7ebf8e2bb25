/** Policy, upstream routes and action classes of the CAI call graph. */
import caiPolicy from "../../examples/cai/policy.json";
import { type Policy } from "../../src/policy/types";
import { loadPolicy } from "../_lib/loadPolicy";
import { type EntryClass, type UpstreamRoutes } from "./ertis";

/** Returns the example policy in `examples/cai`. Throws if it is invalid. */
export const loadCaiPolicy = (): Policy => loadPolicy(caiPolicy);

/** Routes of the CAI upstreams, with their work times and nested calls, by service. */
export const caiRoutes: UpstreamRoutes = {
    "netlist-store": [
        {
            method: "GET",
            pathPrefix: "/netlists/",
            workMs: 20,
            idempotent: true,
            nestedCalls: [{ service: "model-library", method: "GET", path: "/models/3" }],
        },
    ],
    "model-library": [
        { method: "GET", pathPrefix: "/models/", workMs: 20, idempotent: true, nestedCalls: [] },
        { method: "GET", pathPrefix: "/parameters/", workMs: 15, idempotent: true, nestedCalls: [] },
    ],
    "sweep-broker": [
        {
            method: "POST",
            pathPrefix: "/sweeps",
            workMs: 60,
            idempotent: false,
            nestedCalls: [
                { service: "netlist-store", method: "GET", path: "/netlists/1" },
                { service: "model-library", method: "GET", path: "/parameters/1" },
            ],
        },
        { method: "GET", pathPrefix: "/waveforms/", workMs: 30, idempotent: true, nestedCalls: [] },
    ],
    "signoff-ledger": [
        {
            method: "POST",
            pathPrefix: "/sign-offs",
            workMs: 80,
            idempotent: false,
            nestedCalls: [
                { service: "sweep-broker", method: "GET", path: "/waveforms/1" },
                { service: "model-library", method: "GET", path: "/models/1" },
            ],
        },
        { method: "GET", pathPrefix: "/sign-offs/", workMs: 40, idempotent: true, nestedCalls: [] },
    ],
};

/** Action classes of the CAI callers. The rates add up to 1 action per second, and experiments scale them. */
export const caiClasses: readonly EntryClass[] = [
    { name: "sign-off", entry: "signoff-ledger", method: "POST", path: "/sign-offs", ratePerSecond: 0.2, keyed: true },
    { name: "sweep", entry: "sweep-broker", method: "POST", path: "/sweeps", ratePerSecond: 0.2, keyed: true },
    { name: "record", entry: "signoff-ledger", method: "GET", path: "/sign-offs/1", ratePerSecond: 0.2, keyed: false },
    { name: "netlist", entry: "netlist-store", method: "GET", path: "/netlists/1", ratePerSecond: 0.4, keyed: false },
];
