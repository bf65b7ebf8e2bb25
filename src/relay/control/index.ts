/** Control between nodes over tRPC: what a node knows, for one that knows less; poison requests. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { type RequestListener } from "node:http";
import * as z from "zod";
import { type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type Address } from "../../types";

/** What one node knows of the fleet. */
export interface FleetView {
    readonly table: RoutingTable | undefined;
    readonly upstreams: readonly UpstreamRecord[];
}

/** What the control of a node gives to others. */
export interface ControlDependencies {
    readonly readView: () => FleetView;
    /** Takes the fingerprint of a request during which the upstream at another node died. */
    readonly receiveSuspect: (fingerprint: string, node: string) => void;
}

/** Time for one question to another node, in milliseconds. */
const queryTimeoutMs = 1_000;
const maxNameCharacters = 200;
const suspectSchema = z.object({
    fingerprint: z.string().max(maxNameCharacters),
    node: z.string().max(maxNameCharacters),
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

/** Procedures that nodes call at each other. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;

/** Creates the handler of the control listener. */
export const createControlHandler = (dependencies: ControlDependencies): RequestListener =>
    createHTTPHandler({ router: createRelayRouter(dependencies), basePath: "/trpc/" });

const createClient = (address: Address) =>
    createTRPCClient<RelayRouter>({ links: [httpLink({ url: `http://${address.host}:${address.port}/trpc` })] });

/** Asks another node what it knows of the fleet; undefined when it does not answer in time. */
export const queryView = async (address: Address): Promise<FleetView | undefined> => {
    try {
        const signal = AbortSignal.timeout(queryTimeoutMs);
        return await createClient(address).view.query(undefined, { signal }) as FleetView;
    }
    catch {
        return undefined;
    }
};

/** Tells another node of a request during which an upstream died; false when it was not reached. */
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
