import { createServer as createTcpServer, type Server as TcpServer } from "node:net";
import { request } from "undici";
import { createPolicy, createServicePolicy } from "../../testing/createPolicy";
import { registerGraph } from "../../testing/registerGraph";
import { awaitCondition } from "../../testing/startTestGraph";

const route = { importance: "normal", idempotent: true, deadlineMs: 5_000 } as const;

const createTestPolicy = () =>
    createPolicy({
        services: {
            desk: createServicePolicy({
                endpoints: [{ name: "desk-a", failureDomain: "zone-a" }],
                queue: { maxLength: 2, maxWaitMs: 2_000 },
                slots: 2,
                notRunStatuses: [503],
                routes: [
                    { ...route, name: "get", method: "GET", path: "/*" },
                    { ...route, name: "put", method: "PUT", path: "/*" },
                    { ...route, name: "book", method: "POST", path: "/*", importance: "critical", idempotent: false },
                ],
            }),
        },
    });

describe("ingress over real connections", () => {
    const { getAgent, getGraph, start } = registerGraph(createTestPolicy());
    let rawServer: TcpServer | undefined;

    afterEach(() => {
        rawServer?.close();
        rawServer = undefined;
    });

    /** Starts the graph with an upstream that writes raw bytes and then closes. */
    const startRaw = async (bytes: string): Promise<string> => {
        const origin = await start(() => undefined);
        const port = getGraph().getNode("desk-a").settings.upstream.port;
        getGraph().getNode("desk-a").upstream.closeAllConnections();
        await new Promise(resolve => getGraph().getNode("desk-a").upstream.close(resolve));
        rawServer = createTcpServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.end(bytes));
        });
        await new Promise<void>(resolve => rawServer!.listen(port, "127.0.0.1", resolve));
        return origin;
    };

    it.each([
        ["a body with a length", { "content-length": "5" }, "hello"],
        ["a body in chunks", {}, "hello"],
    ])("passes on %s", async (name, headers, body) => {
        const origin = await start((incoming, response) => {
            response.writeHead(201, { ...headers, "x-kind": name, etag: '"7"' });
            response.end(body);
        });
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(await answer.body.text()).toBe(body);
        expect(answer.statusCode).toBe(201);
        expect(answer.headers["etag"]).toBe('"7"');
        expect(answer.headers["pomelovalve-outcome"]).toBe("completed");
    });

    it.each([204, 304])("passes on a status %d without a body", async status => {
        const origin = await start((incoming, response) => response.writeHead(status).end());
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(answer.statusCode).toBe(status);
        expect(await answer.body.text()).toBe("");
    });

    it("passes on the answer to HEAD with the length and without the body", async () => {
        const origin = await start((incoming, response) => response.writeHead(200, { "content-length": "500" }).end());
        const answer = await request(`${origin}/x`, { method: "HEAD", dispatcher: getAgent() });
        expect(answer.statusCode).toBe(200);
        expect(answer.headers["content-length"]).toBe("500");
        expect(await answer.body.text()).toBe("");
    });

    it("passes over informational answers and takes the final one", async () => {
        const origin = await start((incoming, response) => {
            response.writeProcessing();
            response.end("final");
        });
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(await answer.body.text()).toBe("final");
    });

    it("removes hop-by-hop headers and those that Connection names, in both directions", async () => {
        const seen: string[] = [];
        const origin = await start((incoming, response) => {
            seen.push(...Object.keys(incoming.headers));
            response.writeHead(200, { connection: "x-private", "x-private": "1", "x-public": "1" });
            response.end("ok");
        });
        const answer = await request(`${origin}/x`, {
            dispatcher: getAgent(),
            headers: { te: "trailers", "x-sent": "1", "pomelovalve-retries": "99" },
        });
        await answer.body.text();
        expect(seen).toContain("x-sent");
        expect(seen).not.toContain("te");
        expect(seen).not.toContain("pomelovalve-retries");
        expect(answer.headers["x-public"]).toBe("1");
        expect(answer.headers["x-private"]).toBeUndefined();
    });

    it("never passes a truncated body with a length on as whole", async () => {
        const origin = await startRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        await expect(answer.body.text()).rejects.toThrow();
    });

    it("never passes a truncated body in chunks on as whole", async () => {
        const origin = await startRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        await expect(answer.body.text()).rejects.toThrow();
    });

    it("refuses an answer whose end can't be told from a broken connection", async () => {
        const origin = await startRaw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps whole");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(answer.statusCode).toBe(502);
        expect(await answer.body.json()).toMatchObject({ type: "urn:pomelovalve:upstream-unframed" });
    });

    it("tells a request as not run when the upstream refuses the connection, with when to come back", async () => {
        const origin = await startRaw("");
        await new Promise(resolve => rawServer!.close(resolve));
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(answer.statusCode).toBe(503);
        expect(answer.headers["retry-after"]).toBe("1");
        expect(answer.headers["content-type"]).toBe("application/problem+json");
        expect(await answer.body.json()).toMatchObject({ outcome: "not-run" });
    });

    it("tells a request as possibly run when the upstream breaks off before its answer", async () => {
        const origin = await startRaw("");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(await answer.body.json()).toMatchObject({ status: 502, outcome: "may-have-run" });
    });

    it("cancels the upstream's work when the caller goes away", async () => {
        let closed = false;
        const origin = await start((incoming, response) => {
            response.once("close", () => {
                closed = true;
            });
        });
        const controller = new AbortController();
        const sent = request(`${origin}/x`, { dispatcher: getAgent(), signal: controller.signal });
        await awaitCondition(() => getGraph().getNode("desk-a").node.readStatus().inFlight === 1, "request in flight");
        controller.abort();
        await expect(sent).rejects.toThrow();
        await awaitCondition(() => closed, "upstream's request closed");
        await awaitCondition(() => getGraph().getNode("desk-a").node.readStatus().inFlight === 0, "slot given back");
    });

    it("answers 504 at the deadline that the caller states, and frees the slot", async () => {
        const origin = await start(() => undefined);
        const answer = await request(`${origin}/x`, {
            dispatcher: getAgent(),
            headers: { "pomelovalve-deadline": "50" },
        });
        expect(answer.statusCode).toBe(504);
        expect(answer.headers["pomelovalve-outcome"]).toBe("may-have-run");
        await answer.body.dump();
        expect(getGraph().getNode("desk-a").node.readStatus().inFlight).toBe(0);
    });

    it("finishes what is in flight and what waits before a shutdown, and refuses new work as not run", async () => {
        const finishes: (() => void)[] = [];
        const origin = await start((incoming, response) => {
            finishes.push(() => response.end("whole"));
        });
        const { node } = getGraph().getNode("desk-a");
        const sent = [1, 2].map(number => request(`${origin}/${number}`, { dispatcher: getAgent() }));
        await awaitCondition(() => node.readStatus().inFlight === 1 || finishes.length === 2, "in flight");
        const late = await request(`${origin}/warm`, {
            dispatcher: getAgent(),
            headers: { "pomelovalve-deadline": "20" },
        });
        await late.body.dump();
        const drained = node.drain();
        const refused = await request(`${origin}/new`, { dispatcher: getAgent() });
        expect(refused.headers["pomelovalve-leaving"]).toBe("1");
        expect(await refused.body.json()).toMatchObject({ type: "urn:pomelovalve:leaving", outcome: "not-run" });
        const timer = setInterval(() => finishes.forEach(finish => finish()), 5);
        const answers = await Promise.all(sent);
        expect(await Promise.all(answers.map(answer => answer.body.text()))).toEqual(["whole", "whole"]);
        await drained;
        clearInterval(timer);
    });
});
