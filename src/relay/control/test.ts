import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { createRoutingTable, createUpstreamRecord } from "../../testing/createRoute";
import { type ChangesQuery, type FleetChanges } from "../fleet/types";
import { ControlChangesClient } from "./changesClient";
import { queryView, sendSuspect } from "./client";
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
let suspects: string[];

beforeEach(async () => {
    [failures, queries, isAnswering, suspects] = [[], [], true, []];
    server = createServer(createControlHandler({
        readView: () => ({ table: undefined, upstreams: [] }),
        awaitChanges: query => {
            queries.push(query);
            return isAnswering ? Promise.resolve(changes) : new Promise(() => undefined);
        },
        describeTable: () => ({ version: 0, tableAgeMs: undefined, table: undefined }),
        receiveSuspect: (fingerprint, node) => suspects.push(`${fingerprint} ${node}`),
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

describe("createProcedureHandler", () => {
    const send = async (path: string, options: RequestInit = {}): Promise<readonly [number, unknown]> => {
        const response = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}${path}`, options);
        return [
            response.status,
            (await response.json() as { readonly error: { readonly message: string; }; }).error.message,
        ];
    };

    it("names the path of a procedure that doesn't exist", async () => {
        expect(await send("/trpc/toString")).toEqual([404, "no procedure at /trpc/toString"]);
        expect(await send("/other/view")).toEqual([404, "no procedure at /other/view"]);
    });

    it("refuses a mutation that is sent as a query, and a query that is sent as a mutation", async () => {
        expect(await send("/trpc/suspect")).toEqual([405, "GET on /trpc/suspect"]);
        expect(await send("/trpc/view", { method: "POST" })).toEqual([405, "POST on /trpc/view"]);
    });

    it("refuses input that is no JSON or too long", async () => {
        expect((await send("/trpc/changes?input=%7B"))[0]).toBe(400);
        expect(await send("/trpc/suspect", { method: "POST", body: "x".repeat(70_000) }))
            .toEqual([413, "input: too-large"]);
    });
});

describe("calls over connections of their own", () => {
    it("query the view of a node and tell it of a suspect", async () => {
        const address = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
        expect(await queryView(address)).toEqual({ upstreams: [] });
        expect(await sendSuspect(address, "f-1", "node-1")).toBe(true);
        expect(suspects).toEqual(["f-1 node-1"]);
    });

    it("resolve without an answer if the node can't be reached", async () => {
        const address = { host: "127.0.0.1", port: 1 };
        expect(await queryView(address)).toBeUndefined();
        expect(await sendSuspect(address, "f-1", "node-1")).toBe(false);
    });
});
