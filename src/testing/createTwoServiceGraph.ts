/** A virtual graph of two services in two failure domains, for test sessions. */
import { type Policy } from "../policy/types";
import { type UpstreamRoute } from "../standins/types";
import { createIdSource } from "./createIdSource";
import { createPolicy, createServicePolicy } from "./createPolicy";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { type UpstreamRun } from "./fakeUpstream";
import { VirtualClock } from "./virtualClock";
import { VirtualGraph } from "./virtualGraph";

/** Routes of the desk; each request makes one nested call to the store. */
export const deskRoutes: readonly UpstreamRoute[] = [
    {
        method: "GET",
        pathPrefix: "/items/",
        workMs: 20,
        idempotent: true,
        nestedCalls: [{ service: "store", method: "GET", path: "/items/1" }],
    },
    {
        method: "POST",
        pathPrefix: "/bookings",
        workMs: 20,
        idempotent: false,
        nestedCalls: [{ service: "store", method: "POST", path: "/bookings" }],
    },
];

/** Routes of the store; they make no nested calls. */
export const storeRoutes: readonly UpstreamRoute[] = [
    { method: "GET", pathPrefix: "/items/", workMs: 30, idempotent: true, nestedCalls: [] },
    { method: "POST", pathPrefix: "/bookings", workMs: 30, idempotent: false, nestedCalls: [] },
];

/** Creates the policy of the graph; the arguments are the slots of each upstream of the service. */
export const createTwoServicePolicy = (deskSlots = 4, storeSlots = 2): Policy =>
    createPolicy({
        services: {
            desk: createServicePolicy({ slots: deskSlots }),
            store: createServicePolicy({
                slots: storeSlots,
                queue: { maxLength: 1, maxWaitMs: 60 },
                endpoints: [
                    { name: "store-a", failureDomain: "zone-a" },
                    { name: "store-b", failureDomain: "zone-b" },
                ],
            }),
        },
    });

/** A two-service graph with what a test needs to send requests and to inspect their runs. */
export interface TwoServiceGraph {
    readonly graph: VirtualGraph;
    readonly clock: VirtualClock;
    /** Runs at all upstreams so far, in the order of their start. */
    readonly runs: readonly UpstreamRun[];
    readonly createId: () => string;
    /** Sends a direct request. Returns a list that is empty until the answer arrives and is added to it. */
    readonly send: (endpoint: string, method: string, key?: string, path?: string) => readonly ReceivedAnswer[];
}

/** Creates the graph and advances its clock beyond `keyClockMarginMs`, so that the nodes accept new keys. */
export const createTwoServiceGraph = (policy = createTwoServicePolicy(), seed = 7): TwoServiceGraph => {
    const clock = new VirtualClock();
    const runs: UpstreamRun[] = [];
    const graph = new VirtualGraph({
        clock,
        policy,
        upstreamRoutes: { desk: deskRoutes, store: storeRoutes },
        seed,
        recordRun: run => runs.push(run),
    });
    const send = (
        endpoint: string,
        method: string,
        key?: string,
        path = method === "GET" ? "/items/1" : "/bookings",
    ): readonly ReceivedAnswer[] => {
        const answers: ReceivedAnswer[] = [];
        const sink = new CollectingSink(answer => answers.push(answer));
        const headers = key === undefined ? [] : ["idempotency-key", key];
        graph.send(endpoint, new FakeCallRequest(method, path, headers, undefined, sink));
        return answers;
    };
    clock.runUntil(5_000);
    return { graph, clock, runs, createId: createIdSource(clock, seed), send };
};
