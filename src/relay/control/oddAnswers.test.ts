/** Whatever answers on the control port of a host: another build, another program, or nothing that makes sense. */
import fc from "fast-check";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { createRoute, createRoutingTable, createUpstreamRecord } from "../../testing/createRoute";
import { type ChangesQuery } from "../fleet/types";
import { ControlChangesClient } from "./changesClient";
import { queryView, sendSuspect } from "./client";

const host = "127.0.0.1";
const query: ChangesQuery = { viewId: "", serial: 0, version: 0, waitMs: 0 };

let server: Server;
let client: ControlChangesClient;
let port: number;
let text: string;
let failures: string[];

beforeEach(async () => {
    server = createServer((request, response) => {
        response.writeHead(200, { "Content-Type": "application/json" }).end(text);
    });
    server.listen(0, host);
    await once(server, "listening");
    ({ port } = server.address() as AddressInfo);
    failures = [];
    client = new ControlChangesClient(port, (failedHost, detail) => failures.push(`${failedHost} ${detail}`));
});

afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
});

const createText = (data: unknown): string => JSON.stringify({ result: { data } });

const batch = {
    position: { era: 1, revision: 9 },
    isFull: true,
    records: [createUpstreamRecord()],
    removedIds: ["i-9"],
    gone: [{ id: "i-0", bornAtMs: 1, sequence: 2 }],
};
const changes = { viewId: "v", serial: 3, isCurrent: true, version: 4, tableAgeMs: 3, renewalLeftMs: 0, batch };
const table = createRoutingTable(4, [createRoute()]);

/** Values in place of a field that no node would send. */
const oddValues: readonly unknown[] = [5.5, -1, "x", [], {}, [5], { era: "1" }, true, 1e300];

describe("the answers of other nodes", () => {
    it("are taken as they are when a node has sent them", async () => {
        text = createText({ ...changes, table });
        expect(await client.queryChanges(host, query)).toEqual({ ...changes, table });
        text = createText({ version: 4, tableAgeMs: 5, table });
        expect(await client.queryTable(host, 1)).toEqual({ version: 4, tableAgeMs: 5, table });
        text = createText({ table, upstreams: batch.records });
        expect(await queryView({ host, port })).toEqual({ table, upstreams: batch.records });
    });

    // Guards against a node that takes the answer of another program for the state of the fleet.
    it.each(["viewId", "serial", "isCurrent", "batch"] as const)("are no answer when %s is odd", async field => {
        for (
            const value of oddValues.filter(odd =>
                !(field === "isCurrent" && odd === true) && !(field === "viewId" && odd === "x")
            )
        ) {
            text = createText({ ...changes, [field]: value });
            expect([value, await client.queryChanges(host, query)]).toEqual([value, undefined]);
        }
        expect(failures.length).toBeGreaterThan(0);
        expect(failures[0]).toContain(field);
    });

    // Guards against a routing table that is adopted without routes or limits, or that no later one can exceed.
    it.each([
        ["version", { ...table, version: 1e300 }],
        ["limits", { ...table, limits: undefined }],
        ["route", { ...table, routes: [{}] }],
        ["list of routes", { ...table, routes: 7 }],
        ["list of targets", { ...table, routes: [{ ...createRoute(), targets: [] }] }],
        ["timeout", { ...table, routes: [{ ...createRoute(), timeoutMs: "x" }] }],
        ["organisation", { ...table, organisations: [{ name: 1 }] }],
    ])("are no answer when a %s of their table is odd", async (unused, oddTable) => {
        text = createText({ ...changes, table: oddTable });
        expect(await client.queryChanges(host, query)).toBeUndefined();
        text = createText({ version: 4, tableAgeMs: 5, table: oddTable });
        expect(await client.queryTable(host, 1)).toBeUndefined();
        text = createText({ table: oddTable, upstreams: [] });
        expect(await queryView({ host, port })).toBeUndefined();
    });

    // Guards against an odd record that a node of another build has taken in and passes on.
    it("give all records but those that can't be used", async () => {
        const good = Array.from({ length: 499 }, (unused, index) => createUpstreamRecord({ id: `i-${index}` }));
        const odd = [{ host: "999.1.1.1" }, { port: 99_999 }, { id: "a\r\nb: c" }, { state: "gone" }, { slots: -1 }];
        for (const changed of odd) {
            const records = [
                ...good.slice(0, 250),
                { ...createUpstreamRecord({ id: "odd" }), ...changed },
                ...good.slice(250),
            ];
            text = createText({ ...changes, batch: { ...batch, records } });
            const answer = await client.queryChanges(host, query);
            expect(answer?.batch?.records).toEqual(good);
        }
    });

    it("are no answer, and nothing is thrown, whatever the text is", async () => {
        const anyText = fc.oneof(
            fc.string(),
            fc.json(),
            fc.jsonValue().map(createText),
            fc.integer({ min: 1, max: 100_000 }).map(depth =>
                `{"result":{"data":${"[".repeat(depth)}${"]".repeat(depth)}}}`
            ),
            fc.tuple(fc.constantFrom(...Object.keys(batch)), fc.jsonValue()).map(([field, value]) =>
                createText({ ...changes, batch: { ...batch, [field]: value } })
            ),
        );
        await fc.assert(
            fc.asyncProperty(anyText, async anything => {
                text = anything;
                const answer = await client.queryChanges(host, query);
                expect(answer === undefined || answer.viewId === "v").toBe(true);
                expect(await queryView({ host, port })).toBeUndefined();
            }),
            { numRuns: 80, seed: 39 },
        );
    });

    // Guards against a node that runs out of memory because an answer doesn't end.
    it("are no answer when they are longer than any fleet", async () => {
        text = createText({ ...changes, more: "x".repeat(20_000_000) });
        expect(await client.queryChanges(host, query)).toBeUndefined();
    });

    // Guards against an exception where a host is no address, as an odd entry may name it.
    it.each(["999.1.1.1", "", "a b"])(
        "don't come from the host %p, which fails as any silent host does",
        async oddHost => {
            expect(await client.queryChanges(oddHost, query)).toBeUndefined();
            expect(await client.queryTable(oddHost, 1)).toBeUndefined();
            expect(await queryView({ host: oddHost, port })).toBeUndefined();
            expect(await sendSuspect({ host: oddHost, port }, "f-1", "node-1")).toBe(false);
        },
    );
});
