import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { createRoutingTable } from "../testing/createRoute";
import { awaitUntil } from "../testing/startRelayFleet";
import { createControlHandler, type NodeView } from "./control";
import { ViewSync } from "./viewSync";

const view: NodeView = { table: createRoutingTable(5, []), upstreams: [] };
let server: Server;

beforeEach(async () => {
    server = createServer(createControlHandler({
        readView: () => view,
        awaitChanges: () => new Promise(() => undefined),
        describeTable: () => ({ version: 0, tableAgeMs: undefined, table: undefined }),
        receiveSuspect: () => undefined,
    }));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
    server.closeAllConnections();
    server.close();
});

describe("ViewSync", () => {
    // Guards against a node that never asks for a view again after one query has failed in an unexpected way.
    it.each(["", "999.1.1.1"])("asks the next node after a query of %p has failed", async oddHost => {
        let nowMs = 0;
        const failures: string[] = [];
        const received: NodeView[] = [];
        const viewSync = new ViewSync({
            readVersion: () => 1,
            controlPort: (server.address() as AddressInfo).port,
            onViewReceived: answer => received.push(answer),
            onFailed: host => failures.push(host),
            readNowMs: () => nowMs,
        });
        viewSync.observe(oddHost, 5);
        await awaitUntil(() => failures.length > 0);
        expect(failures).toEqual([oddHost]);
        nowMs += 1_000;
        viewSync.observe("127.0.0.1", 5);
        await awaitUntil(() => received.length > 0);
        expect(received).toEqual([view]);
    }, 5_000);
});
