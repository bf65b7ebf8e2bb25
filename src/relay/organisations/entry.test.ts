/** Keys at the entry of a node: who is let in, what upstreams see, and that nothing is run for anybody else. */
import { createConnection } from "node:net";
import { computeKeyDigest } from "../../routing/computeKeyDigest";
import { createRoute, createRoutingTable } from "../../testing/createRoute";
import {
    awaitUntil,
    formatRequest,
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    sendUpstreamAnswer,
    startRelayFleet,
    type TestAnswer,
    testHeaderNames,
} from "../../testing/startRelayFleet";

const organisations = [
    { name: "org-1", keyDigests: ["key-1", "key-2"].map(computeKeyDigest) },
    { name: "org-2", keyDigests: ["key-3"].map(computeKeyDigest) },
];
const routes = [createRoute(), createRoute({ name: "open", prefix: "/open/", isPublic: true })];

let fleet: RelayFleet;

beforeEach(async () => {
    fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", sendOkAnswer]]);
    fleet.publish(createRoutingTable(1, routes, organisations));
});

afterEach(() => fleet.stop());

const sendKey = (key: string | undefined, headers = {}, path = "/lookup/1"): Promise<TestAnswer> =>
    sendToEntry(fleet.members[0]!, { path, headers: { ...headers, ...key !== undefined && { authorization: key } } });

const listReceived = () => fleet.members.flatMap(({ receivedRequests }) => receivedRequests);

describe("a request with a key", () => {
    it.each([["Token key-1", "org-1"], ["token key-2", "org-1"], ["Token key-3", "org-2"]])(
        "reaches the upstream with the name of the organisation and without the key (%s)",
        async (key, name) => {
            expect(await sendKey(key, { [testHeaderNames.organisation]: "forged" })).toMatchObject({ status: 200 });
            const { headers } = listReceived()[0]!;
            expect(headers).toMatchObject({ [testHeaderNames.organisation]: name });
            expect(JSON.stringify(headers)).not.toMatch(/key-|authorization/iu);
        },
    );

    it.each([
        ["no key", undefined],
        ["an unknown key", "Token key-9"],
        ["another scheme", "Basic key-1"],
        ["an empty key", "Token"],
        ["a very long key", `Token ${"k".repeat(8_000)}`],
    ])("is answered 401 with %s, and nothing runs", async (unused, key) => {
        const answer = await sendKey(key);
        expect(answer.status).toBe(401);
        expect(answer.body).not.toContain("key-");
        expect(listReceived()).toEqual([]);
    });

    it("is refused as not run, never denied, while the table may be too old", async () => {
        const { source } = fleet.members[0]!;
        source.tableAgeMs = 2_600;
        expect(await sendKey("Token key-1")).toMatchObject({ status: 200 });
        const unknown = await sendKey("Token key-9");
        expect(unknown.status).toBe(503);
        expect(Number(unknown.headers["retry-after"])).toBeGreaterThan(0);
        source.tableAgeMs = 4_800;
        expect(await sendKey("Token key-1")).toMatchObject({ status: 503 });
        expect(listReceived()).toHaveLength(1);
    });

    it("is denied as soon as a newer version lacks its key", async () => {
        fleet.publish(createRoutingTable(2, routes, organisations.slice(1)));
        expect(await sendKey("Token key-1")).toMatchObject({ status: 401 });
        fleet.publish(createRoutingTable(1, routes, organisations));
        expect(await sendKey("Token key-1")).toMatchObject({ status: 401 });
        expect(await sendKey("Token key-3")).toMatchObject({ status: 200 });
    });

    it("leaves the connection in order when it is denied", async () => {
        const { host, port } = fleet.members[0]!.settings.entry;
        const socket = createConnection(port, host);
        const chunks: string[] = [];
        socket.on("data", (chunk: Buffer) => chunks.push(chunk.toString()));
        const denied = formatRequest({ id: "r-1", headers: { authorization: "Token key-9" } });
        socket.write(denied + formatRequest({ id: "r-2", headers: { authorization: "Token key-3" } }));
        await awaitUntil(() => chunks.join("").includes("whole"));
        socket.destroy();
        expect(chunks.join("").match(/HTTP\/1.1 \d+/gu)).toEqual(["HTTP/1.1 401", "HTTP/1.1 200"]);
    });
});

describe("a request that needs no key", () => {
    it("reaches the upstream of a public route without an organisation, also with a key", async () => {
        const headers = { [testHeaderNames.organisation]: "forged" };
        expect(await sendKey(undefined, headers, "/open/1")).toMatchObject({ status: 200 });
        expect(await sendKey("Token key-1", headers, "/open/1")).toMatchObject({ status: 200 });
        listReceived().forEach(({ headers: received }) => {
            expect(received[testHeaderNames.organisation]).toBeUndefined();
            expect(received["authorization"]).toBeUndefined();
        });
    });

    it("keeps its Authorization header where the table names no organisations", async () => {
        fleet.publish(createRoutingTable(2, routes));
        expect(await sendKey("Basic abc", { [testHeaderNames.organisation]: "forged" })).toMatchObject({ status: 200 });
        const { headers } = listReceived()[0]!;
        expect(headers["authorization"]).toBe("Basic abc");
        expect(headers[testHeaderNames.organisation]).toBeUndefined();
    });

    it("is a nested one of a running request; one of an ended request is refused as not run", async () => {
        await fleet.stop();
        const nestedAnswers: TestAnswer[] = [];
        fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", (request, response) => {
            const id = String(request.headers[testHeaderNames.requestId]);
            if (id.includes(".")) {
                sendOkAnswer(request, response);
                return;
            }
            void sendToEntry(fleet.members[1]!, { id: `${id}.1` }).then(answer => {
                nestedAnswers.push(answer);
                sendUpstreamAnswer(request, response, 200, "parent");
            });
        }]]);
        fleet.publish(createRoutingTable(1, routes, organisations));
        expect(await sendKey("Token key-1")).toMatchObject({ status: 200, body: "parent" });
        expect(nestedAnswers).toMatchObject([{ status: 200 }]);
        expect(await sendToEntry(fleet.members[1]!, { id: "r-1.2" })).toMatchObject({ status: 503 });
        expect(listReceived()).toHaveLength(2);
    });
});

describe("an organisation with a quota", () => {
    const limited = [{ ...organisations[0]!, quota: { ratePerSecond: 1, burst: 0 } }, organisations[1]!];
    /** Highest number of requests in 5 s: the limit with its overshoot and slack. */
    const maxRequests = (1 * 5) * 1.25 + 20;

    it("is refused with 429 beyond it, over all nodes together, and others are served meanwhile", async () => {
        fleet.publish(createRoutingTable(2, routes, limited));
        const startedAtMs = performance.now();
        const answers: TestAnswer[] = [];
        const count = (status: number): number => answers.filter(answer => answer.status === status).length;
        // Until both nodes have lent their shares, a lack of tokens is no proof that the quota is exceeded.
        await awaitUntil(async () => {
            answers.push(
                ...await Promise.all(
                    Array.from({ length: 40 }, (unused, index) =>
                        sendToEntry(fleet.members[index % 2]!, {
                            id: `r-${index}`,
                            headers: { authorization: "Token key-2" },
                        })),
                ),
            );
            return count(429) > 0;
        });
        const elapsedMs = performance.now() - startedAtMs;
        expect(count(200)).toBeGreaterThan(0);
        expect(count(200)).toBeLessThanOrEqual(maxRequests + elapsedMs / 1_000);
        expect(count(200) + count(429) + count(503)).toBe(answers.length);
        answers.filter(({ status }) => status === 429).forEach(({ headers }) =>
            expect(Number(headers["retry-after"])).toBeGreaterThan(0)
        );
        expect(await sendKey("Token key-3")).toMatchObject({ status: 200 });
    });

    it("is no longer limited when a version ends its quota", async () => {
        fleet.publish(createRoutingTable(2, routes, limited));
        fleet.publish(createRoutingTable(3, routes, organisations));
        const answers = await Promise.all(Array.from({ length: 60 }, () => sendKey("Token key-1")));
        expect(answers.every(({ status }) => status === 200)).toBe(true);
    });
});
