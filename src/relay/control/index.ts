/** Control procedures between nodes over tRPC: the fleet view of a node, and suspected poison requests. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { type RequestListener } from "node:http";
import * as z from "zod";
import { type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type Address } from "../../types";

/** Local view of the fleet: the routing table and the upstream records of one node. */
export interface FleetView {
    readonly table: RoutingTable | undefined;
    readonly upstreams: readonly UpstreamRecord[];
}

/** Functions of a node that other nodes call through the control procedures. */
export interface ControlDependencies {
    readonly readView: () => FleetView;
    /** Receives the fingerprint of a request during which the upstream of another node crashed. */
    readonly receiveSuspect: (fingerprint: string, node: string) => void;
}

/** Timeout of a call to another node, in milliseconds. */
const queryTimeoutMs = 1_000;
const maxFieldCharacters = 200;
const suspectSchema = z.object({
    fingerprint: z.string().max(maxFieldCharacters),
    node: z.string().max(maxFieldCharacters),
});

const createRelayRouter = (dependencies: ControlDependencies) => {
    const trpc = initTRPC.create();
    return trpc.router({
        view: trpc.procedure.query(() => dependencies.readView()),
        suspect: trpc.procedure.input(suspectSchema).mutation(({ input }) => {
            dependencies.receiveSuspect(input.fingerprint, input.node);
        }),
    });
};

/** Type of the control procedures, for the client. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;

/** Creates the handler of the control listener. */
export const createControlHandler = (dependencies: ControlDependencies): RequestListener =>
    createHTTPHandler({ router: createRelayRouter(dependencies), basePath: "/trpc/" });

const createClient = (address: Address) =>
    createTRPCClient<RelayRouter>({ links: [httpLink({ url: `http://${address.host}:${address.port}/trpc` })] });

/** Queries the fleet view of another node; undefined if it does not answer in time. */
export const queryView = async (address: Address): Promise<FleetView | undefined> => {
    try {
        const signal = AbortSignal.timeout(queryTimeoutMs);
        return await createClient(address).view.query(undefined, { signal }) as FleetView;
    }
    catch {
        return undefined;
    }
};

/** Reports a request during which an upstream crashed to another node; false if the node did not confirm it. */
export const sendSuspect = async (address: Address, fingerprint: string, node: string): Promise<boolean> => {
    try {
        const signal = AbortSignal.timeout(queryTimeoutMs);
        await createClient(address).suspect.mutate({ fingerprint, node }, { signal });
        return true;
    }
    catch {
        return false;
    }
};
