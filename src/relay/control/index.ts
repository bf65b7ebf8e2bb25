/** Control procedures between nodes over tRPC: fleet view, its changes, the routing table, and reports of suspected poison requests. */
import { initTRPC } from "@trpc/server";
import { type RequestListener } from "node:http";
import * as z from "zod";
import { type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type ChangesQuery, type FleetChanges, type TableAnswer } from "../fleet/types";
import { createProcedureHandler } from "./procedureHandler";

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
    /** Describes the routing table and its proof for a node whose table has the version `version`. */
    readonly describeTable: (version: number) => TableAnswer;
    /** Called with the fingerprint of a request during which an upstream crashed, and with the name of its node. */
    readonly receiveSuspect: (fingerprint: string, node: string) => void;
}

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

const tableSchema = z.object({ version: z.number() });

const createRelayRouter = (dependencies: ControlDependencies) => {
    const trpc = initTRPC.create();
    return trpc.router({
        view: trpc.procedure.query(() => dependencies.readView()),
        changes: trpc.procedure.input(changesSchema).query(({ input }) => dependencies.awaitChanges(input)),
        table: trpc.procedure.input(tableSchema).query(({ input }) => dependencies.describeTable(input.version)),
        suspect: trpc.procedure.input(suspectSchema).mutation(({ input }) => {
            dependencies.receiveSuspect(input.fingerprint, input.node);
        }),
    });
};

/** Router type from which the tRPC client infers the control procedures. */
export type RelayRouter = ReturnType<typeof createRelayRouter>;

/** Creates the handler of the control listener. */
export const createControlHandler = (dependencies: ControlDependencies): RequestListener =>
    createProcedureHandler(createRelayRouter(dependencies), "/trpc/");
