/** Another node may run another version, or the bytes may come from none of this program. */
import fc from "fast-check";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { createReport } from "../../testing/createReport";
import { type HopHandler, type HopRequest, type HopResult } from "../types";
import { encodeFrame, type Frame, frameKinds, FrameReader } from "./frames";
import { LinkClient } from "./linkClient";
import { openLinkListener } from "./linkServer";

const host = "127.0.0.1";
const hopFields = "900 gate i-1 i d f 2 500 lookup 7";
const request: HopRequest = {
    requestId: "r-1",
    method: "GET",
    path: "/lookup/1",
    rawHeaders: [],
    body: undefined,
    route: "lookup",
    callerService: "gate",
    upstreamId: "i-1",
    idempotent: true,
    nested: false,
    isRetry: false,
    rank: 2,
    targetLatencyMs: 500,
    deadlineAtMs: 1_000,
};

/** Values that MessagePack can carry, and those that a frame has in its places. */
const fieldValue = fc.oneof(
    fc.constantFrom<unknown>(
        hopFields,
        "GET",
        "/x",
        "ran 0.00 0 0 1 1.0 0 1.00 0 7",
        200,
        -1,
        2 ** 31,
        true,
        undefined,
    ),
    fc.string(),
    fc.array(fc.string(), { maxLength: 5 }),
    fc.uint8Array({ maxLength: 20 }).map(bytes => Buffer.from(bytes)),
    fc.anything({ maxDepth: 1 }),
);
const frameBytes = fc.tuple(fc.nat(11), fc.nat(3), fc.array(fieldValue, { maxLength: 7 }))
    .map(([kind, id, fields]) => encodeFrame([kind, id, ...fields]));
const streamBytes = fc.array(fc.oneof(frameBytes, fc.uint8Array({ maxLength: 30 }).map(bytes => Buffer.from(bytes))), {
    maxLength: 6,
}).map(parts => Buffer.concat(parts));

/** Fails the test: no bytes may make the handler of a frame throw. */
const handleFailure = (error: Error): never => {
    throw error;
};

const openServer = async (onConnection: (socket: Socket) => void): Promise<Server> => {
    const server = createServer(onConnection);
    server.listen(0, host);
    await once(server, "listening");
    return server;
};

const refuseStream = (): never => {
    throw new Error("the answer is streamed");
};

const readPort = (server: Server): number => (server.address() as AddressInfo).port;

describe("FrameReader", () => {
    it("returns frames or nothing, for any bytes in any pieces", () => {
        fc.assert(
            fc.property(fc.array(streamBytes, { maxLength: 5 }), pieces => {
                const reader = new FrameReader();
                pieces.forEach(piece => {
                    const frames = reader.read(piece) ?? [];
                    frames.forEach(([kind, id]) => expect([typeof kind, typeof id]).toEqual(["number", "number"]));
                });
            }),
            { numRuns: 2_000 },
        );
    });
});

describe("a link listener", () => {
    it("passes on only well-formed requests, and serves the next connection, for any bytes", async () => {
        const served: HopRequest[] = [];
        const server = await openLinkListener({ host, port: 0 }, {
            serve: (hopRequest, handler) => {
                served.push(hopRequest);
                handler.settle({ kind: "not-run", reason: "full" }, createReport());
                return () => undefined;
            },
            computeDeadline: remainingMs => remainingMs,
            onVersionSeen: version => expect(version).toBeDefined(),
            serveTokens: () => ({ ticketMs: 0, incarnation: "", isReturned: false, grants: [] }),
            onFrameFailed: handleFailure,
            createStreamReport: () => createReport(),
        });
        await fc.assert(
            fc.asyncProperty(streamBytes, async bytes => {
                served.length = 0;
                const socket = connect(readPort(server), host);
                socket.on("error", () => undefined);
                socket.resume();
                socket.end(bytes);
                await once(socket, "close");
                served.forEach(({ rawHeaders, body, method, path, deadlineAtMs }) => {
                    expect(rawHeaders.length % 2).toBe(0);
                    expect(rawHeaders.every(text => typeof text === "string")).toBe(true);
                    expect(body === undefined || Buffer.isBuffer(body)).toBe(true);
                    expect(`${method} ${path}`).toMatch(/^\S+ \S+$/u);
                    expect(deadlineAtMs).toBeGreaterThanOrEqual(0);
                });
            }),
            { numRuns: 300 },
        );
        const link = new LinkClient({
            address: { host, port: readPort(server) },
            encodeRequest: () => hopFields,
            onActivity: () => undefined,
            onFrameFailed: handleFailure,
            onClosed: () => undefined,
        });
        const result = await new Promise<HopResult>(resolve => {
            link.send(request, { openStream: refuseStream, settle: resolve });
        });
        expect(result).toEqual({ kind: "not-run", reason: "full" });
        link.abort();
        server.close();
    });
});

describe("a link client", () => {
    it("settles each request once, and never with a malformed answer, for any bytes", async () => {
        let answer = Buffer.alloc(0);
        const server = await openServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.end(answer));
        });
        await fc.assert(
            fc.asyncProperty(streamBytes, async bytes => {
                answer = bytes;
                const results: HopResult[] = [];
                const handler: HopHandler = {
                    openStream: ({ status, rawHeaders }) => {
                        expect(Number.isInteger(status)).toBe(true);
                        expect(rawHeaders.every(text => typeof text === "string")).toBe(true);
                        return {
                            start: () => undefined,
                            write: chunk => {
                                expect(Buffer.isBuffer(chunk)).toBe(true);
                                return true;
                            },
                            onDrain: () => undefined,
                            end: () => undefined,
                            abort: () => undefined,
                        };
                    },
                    settle: result => results.push(result),
                };
                await new Promise<void>(resolve => {
                    const link = new LinkClient({
                        address: { host, port: readPort(server) },
                        encodeRequest: () => hopFields,
                        onActivity: () => undefined,
                        onFrameFailed: handleFailure,
                        onClosed: resolve,
                    });
                    link.send(request, handler);
                });
                expect(results).toHaveLength(1);
                const [result] = results;
                if (result!.kind === "answered" && result!.body !== undefined) {
                    expect(Buffer.isBuffer(result!.body)).toBe(true);
                    expect(Number.isInteger(result!.head.status)).toBe(true);
                }
            }),
            { numRuns: 300 },
        );
        server.close();
    });

    it("treats an answer without a status as one that is lost", async () => {
        const frame: Frame = [frameKinds.answer, 1, "ran 0.00 0 0 1 1.0 0 1.00 0 7", "200", [], Buffer.alloc(0)];
        const server = await openServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.end(encodeFrame(frame)));
        });
        const result = await new Promise<HopResult>(resolve => {
            const link = new LinkClient({
                address: { host, port: readPort(server) },
                encodeRequest: () => hopFields,
                onActivity: () => undefined,
                onFrameFailed: handleFailure,
                onClosed: () => undefined,
            });
            link.send(request, { openStream: refuseStream, settle: resolve });
        });
        expect(result).toEqual({ kind: "may-have-run", cause: "connection" });
        server.close();
    });
});
