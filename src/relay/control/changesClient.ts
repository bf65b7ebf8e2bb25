/** Asks other nodes for changes of the fleet view, over one kept connection to each node that is asked. */
import { LRUCache } from "lru-cache";
import { formatFault } from "../../_lib/formatFault";
import { type Checked } from "../../types";
import { type ChangesClient, type ChangesQuery, type FleetChanges, type TableAnswer } from "../fleet/types";
import { checkChanges, checkTableAnswer } from "./checkAnswers";
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

    /** `onUnreadable` is called with what can't be used of an answer, `onFailed` when there is none to use. */
    constructor(
        private readonly port: number,
        private readonly onFailed: (host: string, detail: string) => void,
        private readonly onUnreadable: (host: string, detail: string) => void = () => undefined,
    ) {}

    queryChanges(host: string, query: ChangesQuery): Promise<FleetChanges | undefined> {
        return this.callNode(
            host,
            query.waitMs,
            ({ changes }, options) => changes.query(query, options),
            answer => checkChanges(answer, fault => this.onUnreadable(host, formatFault(fault))),
        );
    }

    queryTable(host: string, version: number): Promise<TableAnswer | undefined> {
        return this.callNode(host, 0, ({ table }, options) => table.query({ version }, options), checkTableAnswer);
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
        ) => Promise<unknown>,
        check: (answer: unknown) => Checked<Answer>,
    ): Promise<Answer | undefined> {
        try {
            const connection = this.connections.get(host) ?? new ControlConnection({ host, port: this.port });
            this.connections.set(host, connection);
            const checked = check(
                await call(connection.procedures, { signal: AbortSignal.timeout(waitMs + answerTimeoutMs) }),
            );
            if (checked.ok) {
                return checked.value;
            }
            const detail = formatFault(checked.faults[0]!);
            this.onUnreadable(host, detail);
            this.recordFailure(host, detail);
        }
        catch (error) {
            this.recordFailure(host, (error as Error).message);
        }
        return undefined;
    }

    private recordFailure(host: string, detail: string): void {
        this.connections.delete(host);
        this.onFailed(host, detail);
    }
}
