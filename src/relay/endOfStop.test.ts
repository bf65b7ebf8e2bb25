/** Load pattern: requests that last until the end of a node's stop, or begin shortly before it. */
import { connect, type Socket } from "node:net";
import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    awaitUntil,
    type FleetMember,
    formatRequest,
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    startRelayFleet,
    testHeaderNames,
    type TestRequest,
    type UpstreamHandler,
} from "../testing/startRelayFleet";
import { stopMarginMs } from "./awaitDrained";

const table = createRoutingTable(1, [
    createRoute({ timeoutMs: 60_000 }),
    createRoute({ name: "booking", prefix: "/booking/", idempotent: false, timeoutMs: 60_000, targetLatencyMs: 300 }),
]);
const longDeadlineMs = 60_000;

let fleet: RelayFleet;
let stopped: Promise<void> | undefined;

beforeEach(() => {
    stopped = undefined;
});

afterEach(async () => {
    await stopped;
    await fleet.stop();
});

/** Time from the signal until the node begins to close, in milliseconds. */
const readClosingMs = ({ settings }: FleetMember): number => settings.stopGraceMs - stopMarginMs;

const awaitEnd: UpstreamHandler = request => void request.resume();

// Guards against requests that a stopping node has passed on and that end without an answer.
describe("a request that lasts until the end of a stop", () => {
    it.each(["booking", "lookup"])("gets an answer before the connection closes (%s)", async route => {
        fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", awaitEnd]]);
        fleet.publish(table);
        const [gate, desk] = fleet.members;
        const method = route === "booking" ? "POST" : "GET";
        const answer = sendToEntry(gate!, { method, path: `/${route}/1`, deadlineMs: longDeadlineMs });
        await awaitUntil(() => desk!.receivedRequests.length === 1);
        stopped = gate!.node.stop();
        expect((await answer).status).toBe(504);
    });
});

describe("a request of the upstream beside a stopping node", () => {
    /** Sends a request over a connection that is open already; resolves to its status, or 0 if it gets no answer. */
    const sendOver = (socket: Socket, options: TestRequest): Promise<number> =>
        new Promise(resolve => {
            socket.once("data", data => resolve(Number(data.toString("latin1").split(" ")[1])));
            socket.once("close", () => resolve(0));
            socket.write(formatRequest(options).replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"));
        });

    /** Lets the upstream send a request of its own at a time after the stop signal; returns the status of its answer. */
    const sendNested = async (sendAfterMs: number, nestedWorkMs: number): Promise<number> => {
        let nested: Promise<number> | undefined;
        const runParent: UpstreamHandler = request => {
            const id = `${String(request.headers[testHeaderNames.requestId])}.1`;
            const { host, port } = fleet.members[0]!.settings.entry;
            const socket = connect(port, host);
            setTimeout(() => {
                nested = sendOver(socket, { id, method: "POST", path: "/booking/1", deadlineMs: 2_000 });
            }, sendAfterMs);
        };
        const runNested: UpstreamHandler = (request, response) =>
            void setTimeout(() => sendOkAnswer(request, response), nestedWorkMs);
        fleet = await startRelayFleet([["desk", runParent], ["dock", runNested]]);
        const [desk, dock] = fleet.members;
        fleet.publish(
            createRoutingTable(1, [
                createRoute({ timeoutMs: 60_000 }),
                { ...table.routes[1]!, targets: [{ service: "dock", weight: 1 }] },
            ]),
        );
        void sendToEntry(dock!, { id: "parent", deadlineMs: longDeadlineMs });
        await awaitUntil(() => desk!.receivedRequests.length === 1);
        stopped = desk!.node.stop();
        await awaitUntil(() => nested !== undefined);
        return nested!;
    };

    it("is answered while there is time for it", async () => {
        expect(await sendNested(1_000, 50)).toBe(200);
    });

    it("gets an answer although it lasts longer than the node", async () => {
        expect(await sendNested(1_500, 5_000)).toBe(504);
    });

    it.each([-100, 100])("is refused as not run %i ms from the time at which the node closes", async offsetMs => {
        fleet = await startRelayFleet([["desk", sendOkAnswer]]);
        const closingMs = readClosingMs(fleet.members[0]!);
        await fleet.stop();
        expect(await sendNested(closingMs + offsetMs, 50)).toBe(503);
        expect(fleet.members[1]!.receivedRequests).toHaveLength(0);
    });
});
