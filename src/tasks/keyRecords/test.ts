import { request } from "undici";
import { v7 } from "uuid";
import { createPolicy, createServicePolicy } from "../../testing/createPolicy";
import { registerGraph } from "../../testing/registerGraph";
import { awaitCondition } from "../../testing/startTestGraph";

const createKeyedPolicy = () =>
    createPolicy({
        services: { desk: createServicePolicy({ endpoints: [{ name: "desk-a", failureDomain: "zone-a" }] }) },
    });

describe("keyed requests over TCP connections", () => {
    const { getAgent, start } = registerGraph(createKeyedPolicy());

    it("runs a keyed request once and replays its complete answer to a retry", async () => {
        let runs = 0;
        const origin = await start((incoming, response) => {
            runs += 1;
            response.end(`run ${runs}`);
        });
        const send = (key: string, body: string, authorization = "Bearer one") =>
            request(`${origin}/bookings`, {
                method: "POST",
                dispatcher: getAgent(),
                headers: { "idempotency-key": key, authorization },
                body,
            });
        const key = v7();
        const firstAnswer = await send(key, "a");
        const secondAnswer = await send(key, "a");
        expect([await firstAnswer.body.text(), await secondAnswer.body.text()]).toEqual(["run 1", "run 1"]);
        const otherBody = await send(key, "b");
        expect(otherBody.statusCode).toBe(422);
        expect(await otherBody.body.text()).not.toContain("run 1");
        const otherCaller = await send(key, "a", "Bearer two");
        expect(await otherCaller.body.text()).toBe("run 2");
    });

    it("finishes a keyed request whose caller disconnects, and keeps the answer", async () => {
        let finishAnswer: () => void = () => undefined;
        let runs = 0;
        const origin = await start((incoming, response) => {
            runs += 1;
            finishAnswer = () => response.end("done");
        });
        const headers = { "idempotency-key": v7() };
        const controller = new AbortController();
        const options = { method: "POST", dispatcher: getAgent(), headers, body: "a" } as const;
        const firstAnswer = request(`${origin}/bookings`, { ...options, signal: controller.signal });
        await awaitCondition(() => runs === 1, "first run");
        controller.abort();
        await expect(firstAnswer).rejects.toThrow();
        const secondAnswer = request(`${origin}/bookings`, options);
        finishAnswer();
        expect(await (await secondAnswer).body.text()).toBe("done");
        expect(runs).toBe(1);
    });

    it("refuses a key that is not a UUID of version 7", async () => {
        const origin = await start((incoming, response) => response.end("ran"));
        const answer = await request(`${origin}/bookings`, {
            method: "POST",
            dispatcher: getAgent(),
            headers: { "idempotency-key": "order-1" },
        });
        expect(answer.statusCode).toBe(400);
        expect(await answer.body.json()).toMatchObject({
            type: "urn:pomelovalve:key-not-acceptable",
            outcome: "not-run",
        });
    });
});
