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

    /** Starts the graph with an upstream that answers with raw bytes and then closes the connection. */
    const startRawUpstream = async (bytes: string): Promise<string> => {
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
        ["a body with a Content-Length", { "content-length": "5" }, "hello"],
        ["a chunked body", {}, "hello"],
    ])("forwards %s", async (name, headers, body) => {
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

    it.each([204, 304])("forwards status %d without a body", async status => {
        const origin = await start((incoming, response) => response.writeHead(status).end());
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(answer.statusCode).toBe(status);
        expect(await answer.body.text()).toBe("");
    });

    it("forwards the answer to HEAD with its Content-Length and without a body", async () => {
        const origin = await start((incoming, response) => response.writeHead(200, { "content-length": "500" }).end());
        const answer = await request(`${origin}/x`, { method: "HEAD", dispatcher: getAgent() });
        expect(answer.statusCode).toBe(200);
        expect(answer.headers["content-length"]).toBe("500");
        expect(await answer.body.text()).toBe("");
    });

    it("skips informational answers and forwards the final one", async () => {
        const origin = await start((incoming, response) => {
            response.writeProcessing();
            response.end("final");
        });
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(await answer.body.text()).toBe("final");
    });

    it("removes hop-by-hop headers and those that Connection names from requests and answers", async () => {
        const receivedHeaders: string[] = [];
        const origin = await start((incoming, response) => {
            receivedHeaders.push(...Object.keys(incoming.headers));
            response.writeHead(200, { connection: "x-private", "x-private": "1", "x-public": "1" });
            response.end("ok");
        });
        const answer = await request(`${origin}/x`, {
            dispatcher: getAgent(),
            headers: { te: "trailers", "x-sent": "1", "pomelovalve-retries": "99" },
        });
        await answer.body.text();
        expect(receivedHeaders).toContain("x-sent");
        expect(receivedHeaders).not.toContain("te");
        expect(receivedHeaders).not.toContain("pomelovalve-retries");
        expect(answer.headers["x-public"]).toBe("1");
        expect(answer.headers["x-private"]).toBeUndefined();
    });

    it("never forwards a truncated body with a Content-Length as complete", async () => {
        const origin = await startRawUpstream("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        await expect(answer.body.text()).rejects.toThrow();
    });

    it("never forwards a truncated chunked body as complete", async () => {
        const origin = await startRawUpstream("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        await expect(answer.body.text()).rejects.toThrow();
    });

    it("rejects an answer without Content-Length or chunks, whose end looks like a lost connection", async () => {
        const origin = await startRawUpstream("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps whole");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(answer.statusCode).toBe(502);
        expect(await answer.body.json()).toMatchObject({ type: "urn:pomelovalve:upstream-unframed" });
    });

    it("reports not-run with Retry-After if the upstream refuses the connection", async () => {
        const origin = await startRawUpstream("");
        await new Promise(resolve => rawServer!.close(resolve));
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(answer.statusCode).toBe(503);
        expect(answer.headers["retry-after"]).toBe("1");
        expect(answer.headers["content-type"]).toBe("application/problem+json");
        expect(await answer.body.json()).toMatchObject({ outcome: "not-run" });
    });

    it("reports may-have-run if the upstream closes the connection before it answers", async () => {
        const origin = await startRawUpstream("");
        const answer = await request(`${origin}/x`, { dispatcher: getAgent() });
        expect(await answer.body.json()).toMatchObject({ status: 502, outcome: "may-have-run" });
    });

    it("closes the connection to the upstream if the caller disconnects", async () => {
        let upstreamRequestClosed = false;
        const origin = await start((incoming, response) => {
            response.once("close", () => {
                upstreamRequestClosed = true;
            });
        });
        const controller = new AbortController();
        const pendingAnswer = request(`${origin}/x`, { dispatcher: getAgent(), signal: controller.signal });
        await awaitCondition(() => getGraph().getNode("desk-a").node.readStatus().inFlight === 1, "request in flight");
        controller.abort();
        await expect(pendingAnswer).rejects.toThrow();
        await awaitCondition(() => upstreamRequestClosed, "upstream's request closed");
        await awaitCondition(() => getGraph().getNode("desk-a").node.readStatus().inFlight === 0, "slot released");
    });

    it("answers 504 at the caller's deadline and releases the slot", async () => {
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

    it("completes running and queued requests before a shutdown and refuses new ones as not run", async () => {
        const pendingResponses: (() => void)[] = [];
        const origin = await start((incoming, response) => {
            pendingResponses.push(() => response.end("whole"));
        });
        const { node } = getGraph().getNode("desk-a");
        const pendingAnswers = [1, 2].map(number => request(`${origin}/${number}`, { dispatcher: getAgent() }));
        await awaitCondition(() => node.readStatus().inFlight === 1 || pendingResponses.length === 2, "in flight");
        const expiredAnswer = await request(`${origin}/warm`, {
            dispatcher: getAgent(),
            headers: { "pomelovalve-deadline": "20" },
        });
        await expiredAnswer.body.dump();
        const drained = node.drain();
        const refusedAnswer = await request(`${origin}/new`, { dispatcher: getAgent() });
        expect(refusedAnswer.headers["pomelovalve-leaving"]).toBe("1");
        expect(await refusedAnswer.body.json()).toMatchObject({ type: "urn:pomelovalve:leaving", outcome: "not-run" });
        const timer = setInterval(() => pendingResponses.forEach(finish => finish()), 5);
        const answers = await Promise.all(pendingAnswers);
        expect(await Promise.all(answers.map(answer => answer.body.text()))).toEqual(["whole", "whole"]);
        await drained;
        clearInterval(timer);
    });
});
