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
const stableCountPollMs = 400;

/** Creates a body of 64 MiB that is produced in chunks of 1 MiB as it is read; `onProduced` is called for each. */
const createLargeBody = (onProduced: () => void): Readable => {
    let producedChunks = 0;
    return new Readable({
        read() {
            producedChunks += 1;
            onProduced();
            this.push(producedChunks <= 64 ? largeChunk : null); // eslint-disable-line no-restricted-syntax
        },
    });
};

/** Waits until a count stays the same for `stableCountPollMs`. */
const awaitStableCount = async (count: () => number): Promise<void> => {
    let previous = -1;
    while (previous !== count()) {
        previous = count();
        await new Promise(resolve => setTimeout(resolve, stableCountPollMs));
    }
};

describe("bodies over real connections", () => {
    const { getAgent, start } = registerGraph(createBodyPolicy());

    it("streams 64 MiB unchanged in both directions", async () => {
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
        for await (const chunk of answer.body) {
            hash.update(chunk as Buffer);
        }
        const expected = createHash("sha256");
        Array.from({ length: 64 }, () => expected.update(largeChunk));
        expect(hash.digest("hex")).toBe(expected.digest("hex"));
    });

    it("reads an answer no faster than the caller does, so that memory use stays bounded", async () => {
        let producedChunks = 0;
        const origin = await start((incoming, response) => {
            response.writeHead(200, { "content-length": String(64 * megabyte) });
            createLargeBody(() => {
                producedChunks += 1;
            }).pipe(response);
        });
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        await awaitStableCount(() => producedChunks);
        expect(producedChunks).toBeLessThan(32);
        answer.body.destroy();
        answer.body.on("error", () => undefined);
    });

    it("reads a request body no faster than the upstream does", async () => {
        let producedChunks = 0;
        const origin = await start(() => undefined);
        const controller = new AbortController();
        const pendingAnswer = request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            signal: controller.signal,
            headers: { "content-length": String(64 * megabyte) },
            body: createLargeBody(() => {
                producedChunks += 1;
            }),
        });
        await awaitStableCount(() => producedChunks);
        expect(producedChunks).toBeLessThan(32);
        controller.abort();
        await expect(pendingAnswer).rejects.toThrow();
    });

    it("rejects a body over the size limit before reading it", async () => {
        const origin = await start((incoming, response) => response.end("ran"), { maxRequestBodyBytes: 10 });
        const answer = await request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            body: "more than ten bytes",
        });
        expect(answer.statusCode).toBe(413);
        await answer.body.dump();
    });

    it("stops reading a chunked body once it exceeds the size limit", async () => {
        let receivedBytes = 0;
        const origin = await start((incoming, response) => {
            incoming.on("data", (chunk: Buffer) => {
                receivedBytes += chunk.length;
            });
            incoming.on("end", () => response.end("ran"));
        }, { maxRequestBodyBytes: 100_000 });
        const chunks = Array.from({ length: 50 }, () => Buffer.alloc(10_000));
        const answer = await request(`${origin}/x`, {
            method: "PUT",
            dispatcher: getAgent(),
            body: Readable.from(chunks),
        }).catch(() => undefined);
        expect(answer?.statusCode ?? 413).toBe(413);
        await answer?.body.dump();
        expect(receivedBytes).toBeLessThanOrEqual(100_000);
    });
});
