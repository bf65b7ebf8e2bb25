import { type IncomingMessage } from "node:http";
import { Agent, request } from "undici";
import { createPolicyLog } from "../../policy/createPolicyLog";
import { patchPolicyLog } from "../../policy/patchPolicyLog";
import { createPolicy, createServicePolicy } from "../../testing/createPolicy";
import { awaitCondition, TestGraph, type UpstreamHandler } from "../../testing/startTestGraph";

const createGraphPolicy = () =>
    createPolicy({
        services: {
            desk: createServicePolicy({ endpoints: [{ name: "desk-a", failureDomain: "zone-a" }], slots: 40 }),
            store: createServicePolicy({
                slots: 40,
                endpoints: [
                    { name: "store-a", failureDomain: "zone-a" },
                    { name: "store-b", failureDomain: "zone-b" },
                ],
            }),
        },
    });

const metadata = { author: "test", time: "2026-01-01T00:00:00.000Z", reason: "test" };

describe("egress over real connections", () => {
    let graph: TestGraph | undefined;
    let agent: Agent;
    let receivedCalls: { readonly endpoint: string; readonly headers: IncomingMessage["headers"]; }[];

    beforeEach(() => {
        agent = new Agent();
        receivedCalls = [];
    });

    afterEach(async () => {
        await agent.destroy();
        await graph?.stop();
        graph = undefined;
    });

    const recordAndAnswer = (endpoint: string): UpstreamHandler => (incoming, response) => {
        receivedCalls.push({ endpoint, headers: incoming.headers });
        response.end(endpoint);
    };

    const start = async (deskHandler: UpstreamHandler): Promise<TestGraph> => {
        graph = await new TestGraph({
            policy: createGraphPolicy(),
            upstreams: { desk: () => deskHandler, store: recordAndAnswer },
        }).start();
        return graph;
    };

    it("finds the service by Host header or absolute URL, and prefers its own failure domain", async () => {
        const { egress } = (await start((incoming, response) => response.end())).getNode("desk-a");
        const byHost = await request(`${egress}/items/1`, { dispatcher: agent, headers: { host: "store" } });
        expect(await byHost.body.text()).toBe("store-a");
        const byUrl = await agent.request({ origin: egress, path: "http://store/items/1?x=2", method: "GET" });
        expect(await byUrl.body.text()).toBe("store-a");
    });

    it.each([
        ["nowhere", "/items/1", "urn:pomelovalve:unknown-service"],
        ["store", "/unknown", "urn:pomelovalve:unknown-route"],
    ])("refuses a call to %s%s as %s", async (service, path, type) => {
        const { egress } = (await start((incoming, response) => response.end())).getNode("desk-a");
        const answer = await request(`${egress}${path}`, { dispatcher: agent, headers: { host: service } });
        expect(await answer.body.json()).toMatchObject({ type, outcome: "not-run" });
    });

    it("propagates action and deadline to a nested call, and hides the retry allowance from upstreams", async () => {
        const testGraph = await start((incoming, response) => {
            const headers = {
                host: "store",
                "pomelovalve-call": incoming.headers["pomelovalve-call"] as string,
                "pomelovalve-action": incoming.headers["pomelovalve-action"] as string,
            };
            void request(`${testGraph.getNode("desk-a").egress}/items/1`, { dispatcher: agent, headers })
                .then(async answer => response.end(await answer.body.text()));
        });
        const answer = await request(`${testGraph.getNode("desk-a").callers}/items/1`, {
            dispatcher: agent,
            headers: { "pomelovalve-deadline": "400" },
        });
        expect(await answer.body.text()).toBe("store-a");
        const [call] = receivedCalls;
        expect(call!.headers["pomelovalve-action"]).toBe(answer.headers["pomelovalve-action"]);
        expect(Number(call!.headers["pomelovalve-deadline"])).toBeLessThanOrEqual(400);
        expect(call!.headers["pomelovalve-retries"]).toBeUndefined();
    });

    it("forwards a call to another instance if the first one refuses the connection", async () => {
        const testGraph = await start((incoming, response) => {
            const headers = { host: "store", "pomelovalve-call": incoming.headers["pomelovalve-call"] as string };
            void request(`${testGraph.getNode("desk-a").egress}/items/1`, { dispatcher: agent, headers })
                .then(async answer => response.end(await answer.body.text()));
        });
        await testGraph.getNode("store-a").node.drain();
        const answer = await request(`${testGraph.getNode("desk-a").callers}/items/1`, { dispatcher: agent });
        expect(await answer.body.text()).toBe("store-b");
    });

    it("keeps serving during a platform outage, and starts without the platform", async () => {
        const testGraph = await start((incoming, response) => response.end("served"));
        testGraph.platform.updateFaults({ down: true });
        const { callers, node } = testGraph.getNode("desk-a");
        await awaitCondition(() => !node.readStatus().platformReached, "platform lost");
        const answer = await request(`${callers}/items/1`, { dispatcher: agent });
        expect(await answer.body.text()).toBe("served");

        const newNode = await testGraph.startNode("desk", "desk-b", "zone-b");
        const refused = await request(`${newNode.callers}/items/1`, { dispatcher: agent });
        expect(await refused.body.json()).toMatchObject({ type: "urn:pomelovalve:no-policy", status: 503 });
        const ready = await request(`${newNode.control}/readyz`, { dispatcher: agent });
        expect(ready.statusCode).toBe(503);
        await ready.body.dump();

        testGraph.platform.updateFaults({ down: false });
        await awaitCondition(() => newNode.node.readStatus().policyVersion === 1, "policy read after the outage");
        const served = await request(`${newNode.callers}/items/1`, { dispatcher: agent });
        expect(await served.body.text()).toBe("served");
    });

    it("keeps the version in force if the platform returns an older one, and passes it to a new node", async () => {
        const testGraph = await start((incoming, response) => response.end());
        const first = createPolicyLog(createGraphPolicy(), metadata);
        const patch = [{ op: "replace", path: "/retryLimit", value: 1 }];
        const second = first.ok ? patchPolicyLog(first.value, 1, patch, metadata) : first;
        if (!first.ok || !second.ok) {
            throw new Error("the fixtures are not policy logs");
        }
        const listVersions = (): readonly number[] =>
            [...testGraph.nodes.values()].map(({ node }) => node.readStatus().policyVersion);
        testGraph.platform.writeValue("policy", JSON.stringify(second.value));
        await awaitCondition(() => listVersions().every(version => version === 2), "version 2 in force");
        testGraph.platform.writeValue("policy", JSON.stringify(first.value));
        const newNode = await testGraph.startNode("desk", "desk-b", "zone-b");
        await awaitCondition(() => newNode.node.readStatus().policyVersion === 2, "version 2 at the new node");
        expect(newNode.node.readStatus().policySource).toMatch(/^peer /u);
        await awaitCondition(() => newNode.node.readStatus().policyConfirmed, "version confirmed");
        expect(listVersions()).toEqual([2, 2, 2, 2]);
    });
});
