import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    sendUpstreamAnswer,
    startRelayFleet,
    testHeaderNames,
    type UpstreamHandler,
} from "../testing/startRelayFleet";

const table = createRoutingTable(3, [
    createRoute(),
    createRoute({ name: "booking", prefix: "/booking/", idempotent: false, rank: 0 }),
]);

let fleet: RelayFleet;

afterEach(() => fleet.stop());

describe("a request that crashes upstreams", () => {
    it("is no longer run after three crashes, whichever node receives it", async () => {
        const poisonPath = "/lookup/poison";
        const gateNames = ["gate", "yard", "quay", "lock", "pier"];
        const crashOnPoison = (index: number): UpstreamHandler => (request, response) => {
            if (request.url === poisonPath) {
                fleet.members[index]!.crash(200);
                return;
            }
            sendOkAnswer(request, response);
        };
        fleet = await startRelayFleet([
            ...gateNames.map(name => [name, sendOkAnswer] as const),
            ...[0, 1, 2].map(index => ["desk", crashOnPoison(gateNames.length + index)] as const),
        ]);
        fleet.publish(table);
        const countPoisonRequests = (): number =>
            fleet.members.flatMap(({ receivedRequests: received }) => received).filter(({ url }) => url === poisonPath)
                .length;
        for (let round = 0; round < 12; round += 1) {
            const gate = fleet.members[round % gateNames.length]!;
            await sendToEntry(gate, { path: poisonPath, id: `p-${round}`, deadlineMs: 500 });
            await Promise.all([0, 1].map(entry => sendToEntry(fleet.members[entry]!, { id: `w-${round}-${entry}` })));
        }
        expect(countPoisonRequests()).toBeGreaterThan(1);
        expect(countPoisonRequests()).toBeLessThanOrEqual(6);
        expect((await sendToEntry(fleet.members[0]!, { id: "after" })).status).toBe(200);
    });
});

describe("a request that crashes upstreams of a quiet service", () => {
    // Guards against a request that crashes upstreams for ever, since no other request shows that they are down.
    it.each(["reset", "end"])("is refused although nothing else is sent (connections that %s)", async ending => {
        const poisonPath = "/lookup/poison";
        const crash = (index: number): UpstreamHandler => request => {
            if (ending === "end") {
                request.socket.end("HTTP/1.1 200 OK\r\n");
            }
            fleet.members[index]!.crash(250);
        };
        fleet = await startRelayFleet([0, 1, 2].map(index => ["desk", crash(index)] as const));
        fleet.publish(table);
        const statuses: number[] = [];
        for (let round = 0; round < 6; round += 1) {
            const member = fleet.members[round % fleet.members.length]!;
            statuses.push((await sendToEntry(member, { path: poisonPath, id: `p-${round}` })).status);
            await new Promise(resolve => setTimeout(resolve, 400));
        }
        expect(fleet.members.flatMap(({ receivedRequests }) => receivedRequests).length).toBeLessThanOrEqual(4);
        expect(statuses.slice(-3)).toEqual([503, 503, 503]);
    });
});

describe("an address taken over by another upstream", () => {
    it("runs no request that was sent to the former upstream", async () => {
        const rejectOtherTargets: UpstreamHandler = (request, response) => {
            if (request.headers[testHeaderNames.target] === "i-new") {
                sendOkAnswer(request, response);
                return;
            }
            sendUpstreamAnswer(request, response, 421, "another instance");
        };
        fleet = await startRelayFleet([["desk", rejectOtherTargets], ["desk", sendOkAnswer]]);
        // At first the nodes know only the former upstream, so each of them meets it.
        fleet.members.forEach(({ source }) => source.publish(table, [fleet.members[0]!.record]));
        const sendAll = (batch: string) =>
            Promise.all(
                Array.from({ length: 8 }, (unused, index) =>
                    sendToEntry(fleet.members[index % 2]!, {
                        method: "POST",
                        path: "/booking/",
                        id: `${batch}-${index}`,
                    })),
            );
        const firstAnswers = await sendAll("first");
        expect(firstAnswers.map(({ status }) => status)).toEqual(firstAnswers.map(() => 503));
        fleet.publish(table);
        const secondAnswers = await sendAll("second");
        expect(secondAnswers.map(({ status, body }) => `${status} ${body}`)).toEqual(
            secondAnswers.map(() => "200 whole"),
        );
        expect(fleet.members[1]!.receivedRequests.length).toBe(secondAnswers.length);
    });
});
