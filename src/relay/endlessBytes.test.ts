/** An upstream in trouble may send bytes that are no answer, or an answer that never ends, until its caller closes. */
import { connect, type Socket } from "node:net";
import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    awaitUntil,
    formatRequest,
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    startRelayFleet,
    testHeaderNames,
    type UpstreamHandler,
} from "../testing/startRelayFleet";
import { deriveLinkAddress } from "./_lib/deriveAddresses";
import { encodeHopRequest } from "./hop/headers";
import { encodeFrame, frameKinds } from "./link/frames";

const table = createRoutingTable(3, [
    createRoute({ maxUpstreams: 1 }),
    createRoute({ name: "booking", prefix: "/booking/", idempotent: false, maxUpstreams: 1 }),
]);
const deadlineMs = 400;
/** Time after the deadline within which the connection to the upstream has to be closed, in milliseconds. */
const closeWithinMs = 2_000;

jest.setTimeout(10_000);

let fleet: RelayFleet;
/** Sockets over which an upstream sends without end. */
let endlessSockets: Socket[];

beforeEach(() => {
    endlessSockets = [];
});

afterEach(() => fleet.stop());

/** Writes `start`, then `filler` again and again, `intervalMs` apart, until the connection is closed. */
const writeEndlessly = (
    start: (requestId: string) => string,
    filler: string,
    intervalMs = 2,
): UpstreamHandler =>
request => {
    const { socket } = request;
    endlessSockets.push(socket);
    socket.write(start(String(request.headers[testHeaderNames.requestId])));
    const block = filler.repeat(Math.ceil(8_192 / filler.length));
    const writeMore = (): void => {
        if (!socket.destroyed) {
            socket.write(block, () => intervalMs > 0 ? setTimeout(writeMore, intervalMs) : setImmediate(writeMore));
        }
    };
    writeMore();
};

/** Starts a fleet whose second node has an upstream that sends without end to requests for `/…/endless`. */
const startFleet = async (writeEndless: UpstreamHandler): Promise<void> => {
    fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", (request, response) => {
        const handle = request.url!.endsWith("/endless") ? writeEndless : sendOkAnswer;
        handle(request, response);
    }]]);
    fleet.publish(table);
};

const isEachSocketClosed = (): boolean =>
    endlessSockets.length > 0 && endlessSockets.every(({ destroyed }) => destroyed);

const formatChunkedHead = (id: string): string =>
    `HTTP/1.1 200 OK\r\n${testHeaderNames.requestId}: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const chunk = "5\r\nhello\r\n";

const cases: readonly (readonly [name: string, start: (requestId: string) => string, filler: string])[] = [
    ["bytes that are no HTTP", () => "", "\u0000\u0001\u0002\u0003"],
    ["a status line", () => "HTTP/1.1 200 ", "OK"],
    ["a head", () => "HTTP/1.1 200 OK\r\n", "x-filler: filler\r\n"],
    ["interim answers", () => "", "HTTP/1.1 100 Continue\r\n\r\n"],
    [
        "a chunk extension",
        id => `${formatChunkedHead(id)}5;`,
        "extension",
    ],
    [
        "trailers",
        id => `${formatChunkedHead(id)}0\r\n`,
        "x-filler: filler\r\n",
    ],
    [
        "chunks",
        formatChunkedHead,
        chunk,
    ],
    [
        "a body without a length",
        id => `HTTP/1.1 200 OK\r\n${testHeaderNames.requestId}: ${id}\r\nConnection: close\r\n\r\n`,
        "hello",
    ],
];

describe.each(cases)("%s without end", (unused, start, filler) => {
    it.each(["lookup", "booking"])("ends at the deadline of a %s, without a complete answer", async route => {
        await startFleet(writeEndlessly(start, filler));
        const [gate] = fleet.members;
        const path = `/${route}/endless`;
        const startedAtMs = performance.now();
        const answer = await sendToEntry(gate!, { path, method: route === "booking" ? "POST" : "GET", deadlineMs });
        expect([0, 502, 504]).toContain(answer.status);
        await awaitUntil(isEachSocketClosed);
        expect(performance.now() - startedAtMs).toBeLessThan(deadlineMs + closeWithinMs);
        expect(endlessSockets).toHaveLength(1);
        expect((await sendToEntry(gate!, { id: "r-2" })).status).toBe(200);
    });
});

describe("an answer that becomes too long to buffer only after the deadline", () => {
    it.each(["lookup", "booking"])("ends shortly after the deadline of a %s", async route => {
        await startFleet(writeEndlessly(formatChunkedHead, chunk, 5));
        const startedAtMs = performance.now();
        const request = { path: `/${route}/endless`, method: route === "booking" ? "POST" : "GET", deadlineMs: 150 };
        expect((await sendToEntry(fleet.members[0]!, request)).status).toBe(504);
        await awaitUntil(isEachSocketClosed);
        expect(performance.now() - startedAtMs).toBeLessThan(deadlineMs + closeWithinMs);
    });
});

describe("a caller that leaves in the middle of a long answer", () => {
    it.each(["lookup", "booking"])("ends the answer of a %s at the upstream", async route => {
        await startFleet(writeEndlessly(formatChunkedHead, chunk));
        const { host, port } = fleet.members[0]!.settings.entry;
        const caller = connect(port, host);
        caller.write(formatRequest({
            method: route === "booking" ? "POST" : "GET",
            path: `/${route}/endless`,
            deadlineMs: 60_000,
            headers: { "Content-Length": "0" },
        }));
        await new Promise(resolve => caller.once("data", resolve));
        caller.destroy();
        await awaitUntil(isEachSocketClosed);
        expect(endlessSockets).toHaveLength(1);
    });
});

/** Bytes that may be under way on loopback, beside those that a node accepts. */
const maxSentBytes = 24 * 1024 * 1024;

const excessFramingCases: readonly (readonly [name: string, start: (requestId: string) => string, filler: string])[] = [
    ["chunks of one byte with long extensions", formatChunkedHead, `1;${"e".repeat(4_000)}\r\nx\r\n`],
    ["longer chunks with very long extensions", formatChunkedHead, `64;${"e".repeat(9_000)}\r\n${"x".repeat(100)}\r\n`],
    ["an extension without end", id => `${formatChunkedHead(id)}5;`, "extension"],
    ["interim answers", () => "", "HTTP/1.1 103 Early Hints\r\nlink: filler\r\n\r\n"],
];

// Guards against a node over its memory limit: the bytes around a body kept far more memory in use than the body has.
describe.each(excessFramingCases)("%s", (unused, start, filler) => {
    it.each(["lookup", "booking"])("end long before the deadline of a %s", async route => {
        await startFleet(writeEndlessly(start, filler, 0));
        const path = `/${route}/endless`;
        const request = { path, method: route === "booking" ? "POST" : "GET", deadlineMs: 60_000 };
        expect((await sendToEntry(fleet.members[0]!, request)).status).toBe(502);
        await awaitUntil(isEachSocketClosed);
        expect(endlessSockets.every(({ bytesWritten }) => bytesWritten < maxSentBytes)).toBe(true);
    });
});

describe("a node that stands still while it gets a long answer", () => {
    // Guards against a node over its memory limit: frames for a node that reads none were queued without end.
    it("lets the upstream wait", async () => {
        await startFleet(writeEndlessly(formatChunkedHead, `2000\r\n${"x".repeat(8_192)}\r\n`, 0));
        const [, desk] = fleet.members;
        const { host, port } = deriveLinkAddress(desk!.settings.peers);
        const link = connect(port, host);
        link.pause();
        const fields = encodeHopRequest({
            route: "lookup",
            callerService: "gate",
            upstreamId: desk!.record.id,
            idempotent: true,
            nested: false,
            isRetry: false,
            rank: 2,
            targetLatencyMs: 500,
            remainingMs: 60_000,
            version: 3,
        });
        link.write(
            encodeFrame([frameKinds.request, 1, fields, "r-1", "GET", "/lookup/endless", [
                testHeaderNames.requestId,
                "r-1",
            ]]),
        );
        const readSentBytes = (): number => endlessSockets[0]?.bytesWritten ?? 0;
        let sentBytes = -1;
        await awaitUntil(async () => {
            const isStill = sentBytes > 0 && readSentBytes() === sentBytes;
            sentBytes = readSentBytes();
            await new Promise(resolve => setTimeout(resolve, 300));
            return isStill || sentBytes > maxSentBytes;
        });
        expect(sentBytes).toBeLessThan(maxSentBytes);
        link.destroy();
        await awaitUntil(isEachSocketClosed);
    });
});

describe("a body that is long and complete", () => {
    it("reaches the caller whole through both nodes", async () => {
        const body = "0123456789".repeat(200_000);
        fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", (request, response) => {
            response.writeHead(200, { [testHeaderNames.requestId]: "r-1" });
            response.end(body);
        }]]);
        fleet.publish(table);
        const answer = await sendToEntry(fleet.members[0]!, { deadlineMs: 4_000 });
        expect(answer.status).toBe(200);
        expect(answer.body === body).toBe(true);
    });
});
