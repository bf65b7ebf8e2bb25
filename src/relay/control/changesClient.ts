/** Asks other nodes for changes of the fleet view, over one kept connection to each node that is asked. */
import { LRUCache } from "lru-cache";
import { type ChangesClient, type ChangesQuery, type FleetChanges, type TableAnswer } from "../fleet/types";
import { ControlConnection } from "./client";

/** Time allowed for an answer in addition to the wait of the query, in milliseconds. */
const answerTimeoutMs = 400;
/** Number of nodes to which connections are kept; two are asked at a time. */
const maxConnections = 4;

/** Asks nodes over their control listeners. A connection without an answer in time is replaced. */
export class ControlChangesClient implements ChangesClient {
    private readonly connections = new LRUCache<string, ControlConnection>({
        max: maxConnections,
        dispose: connection => connection.close(),
    });

    constructor(private readonly port: number, private readonly onFailed: (host: string, detail: string) => void) {}

    queryChanges(host: string, query: ChangesQuery): Promise<FleetChanges | undefined> {
        return this.callNode(
            host,
            query.waitMs,
            async ({ changes }, options) => await changes.query(query, options) as FleetChanges,
        );
    }

    queryTable(host: string, version: number): Promise<TableAnswer | undefined> {
        return this.callNode(
            host,
            0,
            async ({ table }, options) => await table.query({ version }, options) as TableAnswer,
        );
    }

    close(): void {
        this.connections.clear();
    }

    private async callNode<Answer>(
        host: string,
        waitMs: number,
        call: (
            procedures: ControlConnection["procedures"],
            options: { readonly signal: AbortSignal; },
        ) => Promise<Answer>,
    ): Promise<Answer | undefined> {
        const connection = this.connections.get(host) ?? new ControlConnection({ host, port: this.port });
        this.connections.set(host, connection);
        try {
            return await call(connection.procedures, { signal: AbortSignal.timeout(waitMs + answerTimeoutMs) });
        }
        catch (error) {
            this.connections.delete(host);
            this.onFailed(host, (error as Error).message);
            return undefined;
        }
    }
}
