/** Control procedures between nodes over tRPC: fleet view, its changes, and reports of suspected poison requests. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { type RequestListener } from "node:http";
import * as z from "zod";
import { type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type Address } from "../../types";
import { type ChangesQuery, type FleetChanges } from "../fleet/types";

/** One node's view of the fleet: its routing table and its upstream records. */
export interface NodeView {
    readonly table: RoutingTable | undefined;
    readonly upstreams: readonly UpstreamRecord[];
}

/** Functions that serve the control procedures called by other nodes. */
export interface ControlDependencies {
    readonly readView: () => NodeView;
    /** Waits for changes of the fleet view. */
    readonly awaitChanges: (query: ChangesQuery) => Promise<FleetChanges>;
    /** Called with the fingerprint of a request during which an upstream crashed, and with the name of its node. */
    readonly receiveSuspect: (fingerprint: string, node: string) => void;
}

/** Timeout of a control call to another node, in milliseconds. */
const callTimeoutMs = 1_000;
const maxFieldCharacters = 200;
const suspectSchema = z.object({
    fingerprint: z.string().max(maxFieldCharacters),
    node: z.string().max(maxFieldCharacters),
});

/** Maximum time that a query of changes may wait, in milliseconds. */
const maxChangesWaitMs = 5_000;
const changesSchema = z.object({
    viewId: z.string().max(maxFieldCharacters),
    serial: z.number(),
    version: z.number(),
    waitMs: z.number().min(0).max(maxChangesWaitMs),
});

const createRelayRouter = (dependencies: ControlDependencies) => {
    const trpc = initTRPC.create();
    return trpc.router({
        view: trpc.procedure.query(() => dependencies.readView()),
        changes: trpc.procedure.input(changesSchema).query(({ input }) => dependencies.awaitChanges(input)),
        suspect: trpc.procedure.input(suspectSchema).mutation(({ input }) => {
            dependencies.receiveSuspect(input.fingerprint, input.node);
        }),
    });
};

/** Router type from which the tRPC client infers the control procedures. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;

/** Creates the handler of the control listener. */
export const createControlHandler = (dependencies: ControlDependencies): RequestListener =>
    createHTTPHandler({ router: createRelayRouter(dependencies), basePath: "/trpc/" });

type ClientFetch = Parameters<typeof httpLink>[0]["fetch"];

/** Creates a client of a node's control listener; `fetch` replaces the runtime's implementation. */
export const createClient = (address: Address, fetch?: ClientFetch) =>
    createTRPCClient<RelayRouter>({
        links: [httpLink({ url: `http://${address.host}:${address.port}/trpc`, ...fetch && { fetch } })],
    });

/** Queries the fleet view of another node; resolves to undefined if the call fails or times out. */
export const queryView = async (address: Address): Promise<NodeView | undefined> => {
    try {
        const signal = AbortSignal.timeout(callTimeoutMs);
        return await createClient(address).view.query(undefined, { signal }) as NodeView;
    }
    catch {
        return undefined;
    }
};

/** Tells another node that an upstream crashed during a request; resolves to false if the call fails or times out. */
export const sendSuspect = async (address: Address, fingerprint: string, node: string): Promise<boolean> => {
    try {
        const signal = AbortSignal.timeout(callTimeoutMs);
        await createClient(address).suspect.mutate({ fingerprint, node }, { signal });
        return true;
    }
    catch {
        return false;
    }
};
