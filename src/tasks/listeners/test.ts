import { createHash } from "node:crypto";
import { Readable } from "node:stream";
import { request } from "undici";
import { createPolicy, createServicePolicy } from "../../testing/createPolicy";
import { registerGraph } from "../../testing/registerGraph";

const createBodyPolicy = () =>
    createPolicy({
        services: {
            desk: createServicePolicy({
                endpoints: [{ name: "desk-a", failureDomain: "zone-a" }],
                routes: ["GET", "PUT"].map(method => ({
                    name: method.toLowerCase(),
                    method: method as "GET" | "PUT",
                    path: "/*",
                    importance: "normal",
                    idempotent: true,
                    deadlineMs: 20_000,
                })),
            }),
        },
    });

const megabyte = 1024 * 1024;
const largeChunk = Buffer.alloc(megabyte, 7);
const standstillMs = 400;

/** Creates a body of 64 MB that is produced as it is asked for, 1 MB at a time. */
const createLargeBody = (onProduced: () => void): Readable => {
    let produced = 0;
    return new Readable({
        read() {
            produced += 1;
            onProduced();
            this.push(produced <= 64 ? largeChunk : null); // eslint-disable-line no-restricted-syntax
        },
    });
};

/** Waits until a count no longer changes. */
const awaitStandstill = async (count: () => number): Promise<void> => {
    let seen = -1;
    while (seen !== count()) {
        seen = count();
        await new Promise(resolve => setTimeout(resolve, standstillMs));
    }
};

describe("bodies over real connections", () => {
    const { getAgent, start } = registerGraph(createBodyPolicy());

    it("streams 64 MB both ways, unchanged", async () => {
        const origin = await start((incoming, response) => {
            response.writeHead(200, { "content-length": incoming.headers["content-length"]! });
            incoming.pipe(response);
        });
        const answer = await request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            headers: { "content-length": String(64 * megabyte) },
            body: createLargeBody(() => undefined),
        });
        const hash = createHash("sha256");
        for await (const part of answer.body) {
            hash.update(part as Buffer);
        }
        const expected = createHash("sha256");
        Array.from({ length: 64 }, () => expected.update(largeChunk));
        expect(hash.digest("hex")).toBe(expected.digest("hex"));
    });

    it("takes no more of an answer than its caller reads, so that its memory stays flat", async () => {
        let produced = 0;
        const origin = await start((incoming, response) => {
            response.writeHead(200, { "content-length": String(64 * megabyte) });
            createLargeBody(() => {
                produced += 1;
            }).pipe(response);
        });
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        await awaitStandstill(() => produced);
        expect(produced).toBeLessThan(32);
        answer.body.destroy();
        answer.body.on("error", () => undefined);
    });

    it("takes no more of a request than its upstream reads", async () => {
        let produced = 0;
        const origin = await start(() => undefined);
        const controller = new AbortController();
        const sent = request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            signal: controller.signal,
            headers: { "content-length": String(64 * megabyte) },
            body: createLargeBody(() => {
                produced += 1;
            }),
        });
        await awaitStandstill(() => produced);
        expect(produced).toBeLessThan(32);
        controller.abort();
        await expect(sent).rejects.toThrow();
    });

    it("refuses a body over the bound before reading it", async () => {
        const origin = await start((incoming, response) => response.end("ran"), { maxRequestBodyBytes: 10 });
        const answer = await request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            body: "more than ten bytes",
        });
        expect(answer.statusCode).toBe(413);
        await answer.body.dump();
    });

    it("stops a body in chunks once it passes the bound", async () => {
        let received = 0;
        const origin = await start((incoming, response) => {
            incoming.on("data", (part: Buffer) => {
                received += part.length;
            });
            incoming.on("end", () => response.end("ran"));
        }, { maxRequestBodyBytes: 100_000 });
        const parts = Array.from({ length: 50 }, () => Buffer.alloc(10_000));
        const answer = await request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            body: Readable.from(parts),
        }).catch(() => undefined);
        expect(answer?.statusCode ?? 413).toBe(413);
        await answer?.body.dump();
        expect(received).toBeLessThanOrEqual(100_000);
    });
});
