import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { createRoutingTable, createUpstreamRecord } from "../../testing/createRoute";
import { type ChangesQuery, type FleetChanges } from "../fleet/types";
import { ControlChangesClient } from "./changesClient";
import { createControlHandler } from "./index";

const changes: FleetChanges = {
    viewId: "v",
    serial: 3,
    batch: {
        position: { era: 1, revision: 9 },
        isFull: true,
        records: [createUpstreamRecord()],
        removedIds: [],
        gone: [{ id: "i-0", bornAtMs: 1, sequence: 2 }],
    },
    table: createRoutingTable(4, []),
    isCurrent: true,
};

const createQuery = (waitMs = 0): ChangesQuery => ({ viewId: "", serial: 0, version: 0, waitMs });

let server: Server;
let client: ControlChangesClient;
let failures: string[];
let queries: ChangesQuery[];
let isAnswering: boolean;

beforeEach(async () => {
    [failures, queries, isAnswering] = [[], [], true];
    server = createServer(createControlHandler({
        readView: () => ({ table: undefined, upstreams: [] }),
        awaitChanges: query => {
            queries.push(query);
            return isAnswering ? Promise.resolve(changes) : new Promise(() => undefined);
        },
        receiveSuspect: () => undefined,
    }));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    client = new ControlChangesClient((server.address() as AddressInfo).port, host => failures.push(host));
});

afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
});

describe("ControlChangesClient", () => {
    it("asks a node for its changes over one kept connection", async () => {
        let connections = 0;
        server.on("connection", () => connections += 1);
        expect(await client.queryChanges("127.0.0.1", createQuery())).toEqual(changes);
        expect(await client.queryChanges("127.0.0.1", createQuery())).toEqual(changes);
        expect(queries).toEqual([createQuery(), createQuery()]);
        expect(connections).toBe(1);
        expect(failures).toEqual([]);
    });

    it("reports a node that doesn't answer, and asks it over a new connection next time", async () => {
        isAnswering = false;
        expect(await client.queryChanges("127.0.0.1", createQuery(10))).toBeUndefined();
        expect(failures).toEqual(["127.0.0.1"]);
        isAnswering = true;
        expect(await client.queryChanges("127.0.0.1", createQuery())).toEqual(changes);
    });

    it("reports a query that the node refuses", async () => {
        expect(await client.queryChanges("127.0.0.1", createQuery(60_000))).toBeUndefined();
        expect(queries).toEqual([]);
        expect(failures).toEqual(["127.0.0.1"]);
    });
});
