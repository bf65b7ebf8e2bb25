import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    awaitUntil,
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    sendUpstreamAnswer,
    startRelayFleet,
    testHeaderNames,
    type UpstreamHandler,
} from "../testing/startRelayFleet";

const booking = createRoute({ name: "booking", prefix: "/booking/", idempotent: false, rank: 0 });
const lookup = createRoute();
const table = createRoutingTable(3, [lookup, booking]);

const resetConnection: UpstreamHandler = request => request.socket.resetAndDestroy();

let fleet: RelayFleet;

const startFleet = async (...behaviours: readonly UpstreamHandler[]): Promise<RelayFleet> => {
    fleet = await startRelayFleet(behaviours.map(behave => ["desk", behave] as const));
    fleet.publish(table);
    return fleet;
};

const countReceivedRequests = (): number =>
    fleet.members.reduce((sum, { receivedRequests: received }) => sum + received.length, 0);

afterEach(() => fleet.stop());

describe("a relay node without a routing table", () => {
    it("refuses a request with a Retry-After header", async () => {
        fleet = await startRelayFleet([["desk", sendOkAnswer]]);
        const answer = await sendToEntry(fleet.members[0]!);
        expect(answer.status).toBe(503);
        expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    });
});

describe("a request through two nodes", () => {
    it("reaches the upstream with its remaining time, and without headers that the sender forged", async () => {
        fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", sendOkAnswer]]);
        fleet.publish(table);
        const headers = {
            [testHeaderNames.callerService]: "forged",
            [testHeaderNames.target]: "forged",
            "x-kept": "yes",
        };
        const answer = await sendToEntry(fleet.members[0]!, { id: "abc", headers, path: "/lookup/9?q=1" });
        expect(answer).toMatchObject({ status: 200, body: "whole" });
        expect(answer.headers[testHeaderNames.requestId]).toBe("abc");
        const [request] = fleet.members[1]!.receivedRequests;
        expect(request!.url).toBe("/lookup/9?q=1");
        expect(request!.headers).toMatchObject({
            host: "desk.example",
            "x-kept": "yes",
            [testHeaderNames.requestId]: "abc",
            [testHeaderNames.callerService]: "gate",
            [testHeaderNames.target]: "i-1",
        });
        expect(Number(request!.headers[testHeaderNames.deadline])).toBeLessThanOrEqual(2_000);
        expect(Number(request!.headers[testHeaderNames.deadline])).toBeGreaterThan(1_000);
    });

    it("is answered with 404 if no route matches", async () => {
        await startFleet(sendOkAnswer);
        expect((await sendToEntry(fleet.members[0]!, { path: "/unknown/" })).status).toBe(404);
    });

    it("forwards the body of the request and the error of the upstream unchanged", async () => {
        let body = "";
        await startFleet((request, response) => {
            request.on("data", chunk => body += String(chunk));
            request.on("end", () => sendUpstreamAnswer(request, response, 409, "conflict"));
        });
        const answer = await sendToEntry(fleet.members[0]!, { method: "POST", path: "/booking/1", body: "berth 7" });
        expect(answer).toMatchObject({ status: 409, body: "conflict" });
        expect(body).toBe("berth 7");
    });
});

describe("an upstream that resets its connection", () => {
    it("has an idempotent request retried at another upstream", async () => {
        let mustReset = true;
        const resetOnce: UpstreamHandler = (request, response) => {
            if (!mustReset) {
                sendOkAnswer(request, response);
                return;
            }
            mustReset = false;
            resetConnection(request, response);
        };
        await startFleet(resetOnce, resetOnce);
        expect(await sendToEntry(fleet.members[0]!)).toMatchObject({ status: 200, body: "whole" });
        expect(countReceivedRequests()).toBe(2);
    });

    it("never has a non-idempotent request retried or reported as not run", async () => {
        await startFleet(resetConnection, resetConnection);
        const answer = await sendToEntry(fleet.members[0]!, { method: "POST", path: "/booking/1", body: "x" });
        expect(answer.status).toBe(502);
        expect(countReceivedRequests()).toBe(1);
    });

    it("causes an incomplete answer if the answer has no length", async () => {
        await startFleet((request, response) => {
            const id = String(request.headers[testHeaderNames.requestId]);
            response.socket!.write(
                `HTTP/1.1 200 OK\r\n${testHeaderNames.requestId}: ${id}\r\nConnection: close\r\n\r\npart`,
            );
            setTimeout(() => request.socket.resetAndDestroy(), 20);
        });
        const answer = await sendToEntry(fleet.members[0]!, { path: "/booking/1", method: "POST" });
        expect(answer.status).toBe(502);
    });

    it("completes an answer without a length by closing the connection", async () => {
        await startFleet((request, response) => {
            const id = String(request.headers[testHeaderNames.requestId]);
            response.socket!.end(
                `HTTP/1.1 200 OK\r\n${testHeaderNames.requestId}: ${id}\r\nConnection: close\r\n\r\nwhole`,
            );
        });
        expect(await sendToEntry(fleet.members[0]!)).toMatchObject({ status: 200, body: "whole" });
    });
});

describe("an answer that belongs to another request", () => {
    it("is never forwarded", async () => {
        const answerOtherRequest: UpstreamHandler = (unused, response) => {
            response.writeHead(200, { [testHeaderNames.requestId]: "another" });
            response.end("secret");
        };
        await startFleet(answerOtherRequest);
        const answer = await sendToEntry(fleet.members[0]!, { path: "/booking/1", method: "POST" });
        expect(answer.status).toBe(502);
        expect(answer.body).not.toContain("secret");
    });
});

describe("an upstream that refuses requests", () => {
    const refuseRequest: UpstreamHandler = (unused, response) => {
        response.writeHead(503, { [testHeaderNames.notRun]: "1" });
        response.end();
    };

    it("has a non-idempotent request rerouted to another upstream, since it was not run", async () => {
        let refusals = 0;
        const refuseOnce: UpstreamHandler = (request, response) => {
            refusals += 1;
            (refusals === 1 ? refuseRequest : sendOkAnswer)(request, response);
        };
        await startFleet(refuseOnce, refuseOnce);
        const answer = await sendToEntry(fleet.members[0]!, { path: "/booking/1", method: "POST" });
        expect(answer.status).toBe(200);
    });

    it("causes a refusal with a Retry-After header if all instances refuse", async () => {
        await startFleet(refuseRequest, refuseRequest);
        const answer = await sendToEntry(fleet.members[0]!, { path: "/booking/1", method: "POST" });
        expect(answer.status).toBe(503);
        expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
        expect(countReceivedRequests()).toBe(2);
    });
});

describe("a request whose deadline has passed", () => {
    it("is answered at the timeout of the route, and its attempt is aborted", async () => {
        let closedCount = 0;
        fleet = await startRelayFleet([["desk", request => {
            request.socket.once("close", () => closedCount += 1);
        }]]);
        fleet.publish(createRoutingTable(1, [createRoute({ timeoutMs: 150 })]));
        const startMs = performance.now();
        const answer = await sendToEntry(fleet.members[0]!, { deadlineMs: 60_000 });
        expect(answer.status).toBe(504);
        expect(performance.now() - startMs).toBeGreaterThanOrEqual(150);
        await awaitUntil(() => closedCount === 1);
    });
});

describe("a routing table that another node has adopted", () => {
    it("reaches a node that has no connection to the platform", async () => {
        fleet = await startRelayFleet([["gate", sendOkAnswer], ["desk", sendOkAnswer]]);
        fleet.publish(table);
        const [gate, desk] = fleet.members;
        const newerTable = createRoutingTable(9, [{ ...lookup, prefix: "/renamed/" }]);
        desk!.source.publish(newerTable, undefined);
        expect((await sendToEntry(gate!)).status).toBe(200);
        await awaitUntil(async () => (await sendToEntry(gate!, { path: "/renamed/1" })).status === 200);
        expect((await sendToEntry(gate!)).status).toBe(404);
    });

    it("is never replaced by one of a lower version", async () => {
        await startFleet(sendOkAnswer);
        fleet.members[0]!.source.publish(createRoutingTable(2, []), undefined);
        expect((await sendToEntry(fleet.members[0]!)).status).toBe(200);
    });
});

describe("a draining upstream", () => {
    it("gets no new request", async () => {
        await startFleet(sendOkAnswer, sendOkAnswer);
        const records = fleet.members.map(({ record }, index) =>
            index === 0 ? { ...record, state: "draining" as const } : record
        );
        fleet.members.forEach(({ source }) => source.publish(undefined, records));
        for (let count = 0; count < 10; count += 1) {
            expect((await sendToEntry(fleet.members[0]!)).status).toBe(200);
        }
        expect(fleet.members[0]!.receivedRequests.length).toBe(0);
    });
});

describe("a draining upstream whose state a node has not received", () => {
    it("has requests of that node rerouted after a second", async () => {
        await startFleet(sendOkAnswer, sendOkAnswer);
        const [staleMember, drainingMember] = fleet.members;
        const records = [{ ...drainingMember!.record, state: "draining" as const }, staleMember!.record];
        drainingMember!.source.publish(undefined, records);
        staleMember!.source.publish(undefined, [drainingMember!.record]);
        expect((await sendToEntry(staleMember!)).status).toBe(200);
        expect(drainingMember!.receivedRequests.length).toBe(1);
        await new Promise(resolve => setTimeout(resolve, 1_050));
        expect((await sendToEntry(staleMember!)).status).toBe(503);
        staleMember!.source.publish(undefined, [drainingMember!.record, staleMember!.record]);
        expect((await sendToEntry(staleMember!)).status).toBe(200);
        expect(drainingMember!.receivedRequests.length).toBe(1);
    });
});

describe("the stop of a node", () => {
    it("aborts no pending request, and sends new requests to other upstreams", async () => {
        const answerLate: UpstreamHandler = (request, response) => {
            setTimeout(() => sendOkAnswer(request, response), 300);
        };
        await startFleet(answerLate, answerLate);
        const [stoppedMember] = fleet.members;
        const pending = Array.from({ length: 6 }, (unused, index) => sendToEntry(stoppedMember!, { id: `p-${index}` }));
        await awaitUntil(() => countReceivedRequests() === 6);
        const receivedBefore = stoppedMember!.receivedRequests.length;
        const stopped = stoppedMember!.node.stop();
        const laterAnswers = await Promise.all(Array.from({ length: 4 }, () => sendToEntry(stoppedMember!)));
        expect((await Promise.all(pending)).map(({ status }) => status)).toEqual([200, 200, 200, 200, 200, 200]);
        expect(laterAnswers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
        expect(stoppedMember!.receivedRequests.length).toBe(receivedBefore);
        await stopped;
    });

    it("refuses late requests with a deadline after its end, and serves those with an earlier one", async () => {
        const answerLate: UpstreamHandler = (request, response) => {
            setTimeout(() => sendOkAnswer(request, response), 700);
        };
        await startFleet(answerLate, answerLate);
        const [stoppedMember] = fleet.members;
        const pending = sendToEntry(stoppedMember!, { id: "early" });
        await awaitUntil(() => countReceivedRequests() === 1);
        const stopped = stoppedMember!.node.stop();
        await new Promise(resolve => setTimeout(resolve, 2 * stoppedMember!.settings.leaveAfterMs));
        const [longAnswer, shortAnswer] = await Promise.all([
            sendToEntry(stoppedMember!, { id: "long", deadlineMs: 2_000 }),
            sendToEntry(stoppedMember!, { id: "short", deadlineMs: 1_000 }),
        ]);
        expect(longAnswer.status).toBe(503);
        expect(longAnswer.headers["connection"]).toBe("close");
        expect(shortAnswer.status).toBe(200);
        expect((await pending).status).toBe(200);
        await stopped;
    });
});
