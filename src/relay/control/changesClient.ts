/** Asks other nodes for changes of the fleet view, over one kept connection to each node that is asked. */
import { LRUCache } from "lru-cache";
import { Client } from "undici";
import { type ChangesClient, type ChangesQuery, type FleetChanges } from "../fleet/types";
import { createClient } from "./index";

/** Time allowed for an answer in addition to the wait of the query, in milliseconds. */
const answerTimeoutMs = 400;
/** Number of nodes to which connections are kept; two are asked at a time. */
const maxConnections = 4;

const okStatus = 200;

type ClientFetch = Parameters<typeof createClient>[1];
type FetchOptions = Parameters<NonNullable<ClientFetch>>[1];

/** Connection to one node. */
class PeerConnection {
    private readonly connection: Client;
    private readonly trpc: ReturnType<typeof createClient>;

    constructor(host: string, port: number) {
        this.connection = new Client(`http://${host}:${port}`, { connect: { timeout: answerTimeoutMs } });
        this.trpc = createClient({ host, port }, (input, options) => this.sendRequest(String(input), options));
    }

    async queryChanges(query: ChangesQuery): Promise<FleetChanges> {
        const signal = AbortSignal.timeout(query.waitMs + answerTimeoutMs);
        return await this.trpc.changes.query(query, { signal }) as FleetChanges;
    }

    close(): void {
        void this.connection.destroy();
    }

    /** Sends a request of the tRPC client over the kept connection. */
    private async sendRequest(input: string, options: FetchOptions): ReturnType<NonNullable<ClientFetch>> {
        const { pathname, search } = new URL(input);
        const { body, statusCode } = await this.connection.request({
            method: "GET",
            path: pathname + search,
            signal: options?.signal as AbortSignal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        return { ok: statusCode === okStatus, json: () => body.json() };
    }
}

/** Asks nodes over their control listeners. A connection without an answer in time is replaced. */
export class ControlChangesClient implements ChangesClient {
    private readonly connections = new LRUCache<string, PeerConnection>({
        max: maxConnections,
        dispose: connection => connection.close(),
    });

    constructor(private readonly port: number, private readonly onFailed: (host: string, detail: string) => void) {}

    async queryChanges(host: string, query: ChangesQuery): Promise<FleetChanges | undefined> {
        const connection = this.connections.get(host) ?? new PeerConnection(host, this.port);
        this.connections.set(host, connection);
        try {
            return await connection.queryChanges(query);
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
