/** Asks other nodes for changes of the fleet view, over one kept connection to each node that is asked. */
import { LRUCache } from "lru-cache";
import { type ChangesClient, type ChangesQuery, type FleetChanges } from "../fleet/types";
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

    async queryChanges(host: string, query: ChangesQuery): Promise<FleetChanges | undefined> {
        const connection = this.connections.get(host) ?? new ControlConnection({ host, port: this.port });
        this.connections.set(host, connection);
        try {
            const signal = AbortSignal.timeout(query.waitMs + answerTimeoutMs);
            return await connection.procedures.changes.query(query, { signal }) as FleetChanges;
        }
        catch (error) {
            this.connections.delete(host);
            this.onFailed(host, (error as Error).message);
            return undefined;
        }
    }

    close(): void {
        this.connections.clear();
    }
}
