/** A faulty upstream may write an earlier refusal once more on a kept connection, where the next answer is expected. */
import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    startRelayFleet,
    testHeaderNames,
    type UpstreamHandler,
} from "../testing/startRelayFleet";

const table = createRoutingTable(3, [
    createRoute(),
    createRoute({ name: "booking", prefix: "/booking/", idempotent: false }),
]);

let fleet: RelayFleet;

afterEach(() => fleet.stop());

const formatRefusal = (status: string, idHeader: string): string =>
    `HTTP/1.1 ${status}\r\n${idHeader}${testHeaderNames.notRun}: 1\r\nContent-Length: 0\r\n\r\n`;

const refusals: readonly (readonly [name: string, refusal: string])[] = [
    ["without an id", formatRefusal("503 Service Unavailable", "")],
    ["with an empty id", formatRefusal("503 Service Unavailable", `${testHeaderNames.requestId}:\r\n`)],
    ["with the earlier id", formatRefusal("503 Service Unavailable", `${testHeaderNames.requestId}: r-first\r\n`)],
    ["of a rate limit", formatRefusal("429 Too Many Requests", "")],
    ["of another instance", formatRefusal("421 Misdirected Request", "")],
];

/** Starts a fleet whose first upstream writes a refusal before it runs any further request of a connection. */
const startFleet = async (refusal: string): Promise<() => number> => {
    let runCount = 0;
    const requestCounts = new WeakMap<object, number>();
    const handle: UpstreamHandler = (request, response) => {
        const count = (requestCounts.get(request.socket) ?? 0) + 1;
        requestCounts.set(request.socket, count);
        if (count === 1) {
            sendOkAnswer(request, response);
            return;
        }
        request.socket.write(refusal);
        runCount += 1;
        setTimeout(() => sendOkAnswer(request, response), 50);
    };
    fleet = await startRelayFleet([["desk", handle]]);
    fleet.publish(table);
    return () => runCount;
};

// Guards against requests that are said not to have run, or run again elsewhere, though an upstream is running them.
describe.each(refusals)("a late refusal %s", (unused, refusal) => {
    it("doesn't count as the answer to a request that an upstream is running", async () => {
        const countRuns = await startFleet(refusal);
        const [member] = fleet.members;
        expect((await sendToEntry(member!, { id: "r-first" })).status).toBe(200);
        const booking = await sendToEntry(member!, { id: "r-second", method: "POST", path: "/booking/1" });
        expect(countRuns()).toBe(1);
        expect(booking.status).toBe(502);
    });
});

describe("a refusal without an id", () => {
    it("counts as the answer to the first request of a connection", async () => {
        const refuse: UpstreamHandler = (unused, response) => {
            response.writeHead(503, { [testHeaderNames.notRun]: "1" });
            response.end();
        };
        fleet = await startRelayFleet([["desk", refuse]]);
        fleet.publish(table);
        const answer = await sendToEntry(fleet.members[0]!, { method: "POST", path: "/booking/1" });
        expect(answer.status).toBe(503);
    });
});
