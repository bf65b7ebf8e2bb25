/** Load pattern: callers that send several requests over one connection and leave before they are answered. */
import { connect } from "node:net";
import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    awaitUntil,
    formatRequest,
    type RelayFleet,
    sendOkAnswer,
    startRelayFleet,
    type UpstreamHandler,
} from "../testing/startRelayFleet";

const table = createRoutingTable(1, [
    createRoute({ timeoutMs: 60_000 }),
    createRoute({ name: "booking", prefix: "/booking/", idempotent: false, timeoutMs: 60_000 }),
]);
const deadlineMs = 60_000;

let fleet: RelayFleet;
let openPaths: Set<string>;

beforeEach(() => {
    openPaths = new Set();
});

afterEach(() => fleet.stop());

/** Answers requests for `/lookup/quick` only, and keeps the paths of the others until their connections close. */
const handle: UpstreamHandler = (request, response) => {
    const path = request.url!;
    if (path === "/lookup/quick") {
        sendOkAnswer(request, response);
        return;
    }
    openPaths.add(path);
    request.socket.once("close", () => openPaths.delete(path));
};

const countReceived = (): number => fleet.members.flatMap(({ receivedRequests: received }) => received).length;

/** Sends requests for the paths over one connection to the first node, and leaves when upstreams have got all of them. */
const sendAndLeave = async (paths: readonly string[], leave: "end" | "reset"): Promise<void> => {
    const { host, port } = fleet.members[0]!.settings.entry;
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    socket.resume();
    for (const [index, path] of paths.entries()) {
        const method = path.startsWith("/booking") ? "POST" : "GET";
        socket.write(formatRequest({ id: `r-${index}`, method, path, deadlineMs, headers: { "Content-Length": "0" } }));
        await awaitUntil(() => countReceived() === index + 1);
    }
    if (leave === "end") {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
};

// Guards against upstreams that go on with requests behind the first one of a pipeline.
describe.each(["end", "reset"] as const)("a caller that leaves (%s)", leave => {
    it.each([1, 2])("has all its idempotent requests cancelled, over %i nodes", async nodeCount => {
        const services = nodeCount === 1 ? ["desk"] : ["gate", "desk"];
        fleet = await startRelayFleet(services.map(service => [service, handle] as const));
        fleet.publish(table);
        await sendAndLeave(["/lookup/1", "/lookup/2", "/lookup/3", "/lookup/4"], leave);
        await awaitUntil(() => openPaths.size === 0);
    });

    it("has the requests cancelled that follow answered ones", async () => {
        fleet = await startRelayFleet([["desk", handle]]);
        fleet.publish(table);
        await sendAndLeave(["/lookup/quick", "/lookup/1", "/lookup/quick", "/lookup/2"], leave);
        await awaitUntil(() => openPaths.size === 0);
    });

    it("leaves those running that are not idempotent", async () => {
        fleet = await startRelayFleet([["desk", handle]]);
        fleet.publish(table);
        await sendAndLeave(["/booking/1", "/lookup/1", "/booking/2"], leave);
        await awaitUntil(() => !openPaths.has("/lookup/1"));
        expect([...openPaths].sort()).toEqual(["/booking/1", "/booking/2"]);
    });
});
