/** Load pattern: callers that read their answers slowly, or whose answers wait for an earlier one of their connection. */
import { once } from "node:events";
import { connect } from "node:net";
import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    awaitUntil,
    formatRequest,
    type RelayFleet,
    sendOkAnswer,
    sendUpstreamAnswer,
    startRelayFleet,
    testHeaderNames,
    type UpstreamHandler,
} from "../testing/startRelayFleet";

const table = createRoutingTable(1, [createRoute({ timeoutMs: 60_000 })]);
const deadlineMs = 60_000;

let fleet: RelayFleet;

afterEach(() => fleet.stop());

const startFleet = async (handle: UpstreamHandler): Promise<void> => {
    fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", handle]]);
    fleet.publish(table);
};

describe("a caller that reads slowly while a node stops", () => {
    // Guards against answers that are complete, but cut off before their caller has read them.
    it("gets all its answers", async () => {
        const body = "0123456789".repeat(25_000);
        const count = 60;
        await startFleet((request, response) => sendUpstreamAnswer(request, response, 200, body));
        const [gate, desk] = fleet.members;
        const socket = connect(gate!.settings.entry.port, gate!.settings.entry.host);
        let receivedBytes = 0;
        socket.on("error", () => undefined);
        socket.on("data", chunk => receivedBytes += chunk.length);
        socket.pause();
        for (let index = 0; index < count; index += 1) {
            socket.write(formatRequest({ id: `r-${index}`, deadlineMs }));
        }
        let received = -1;
        await awaitUntil(async () => {
            const isStill = received > 0 && received === desk!.receivedRequests.length;
            received = desk!.receivedRequests.length;
            await new Promise(resolve => setTimeout(resolve, 200));
            return isStill;
        });
        const stopped = gate!.node.stop();
        await new Promise(resolve => setTimeout(resolve, 1_200));
        const closed = once(socket, "close");
        socket.resume();
        await Promise.all([stopped, closed]);
        expect(receivedBytes).toBeGreaterThan(desk!.receivedRequests.length * body.length);
    });
});

describe("a long answer that breaks off while it waits for an earlier one", () => {
    // Guards against a connection that stays open without an answer.
    it("closes the connection after the earlier answer", async () => {
        await startFleet((request, response) => {
            const id = String(request.headers[testHeaderNames.requestId]);
            if (id === "r-slow") {
                setTimeout(() => sendOkAnswer(request, response), 600);
                return;
            }
            response.writeHead(200, { [testHeaderNames.requestId]: id });
            response.write("x".repeat(300_000), () => setTimeout(() => request.socket.resetAndDestroy(), 50));
        });
        const { host, port } = fleet.members[0]!.settings.entry;
        const socket = connect(port, host);
        let text = "";
        socket.on("error", () => undefined);
        socket.on("data", chunk => text += chunk.toString("latin1"));
        const closed = once(socket, "close");
        socket.write(formatRequest({ id: "r-slow", deadlineMs }) + formatRequest({ id: "r-long", deadlineMs }));
        await closed;
        expect(text).toMatch(/^HTTP\/1\.1 200 [^]*whole/u);
    });
});
