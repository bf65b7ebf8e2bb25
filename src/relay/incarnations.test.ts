import { createRoute, createTable } from "../testing/createRoute";
import {
    type RelayFleet,
    sendToEntry,
    sendUpstreamAnswer,
    sendWholeAnswer,
    startRelayFleet,
    testNames,
    type UpstreamBehaviour,
} from "../testing/startRelayFleet";

const table = createTable(3, [
    createRoute(),
    createRoute({ name: "booking", prefix: "/booking/", idempotent: false, rank: 0 }),
]);

let fleet: RelayFleet;

afterEach(() => fleet.stop());

describe("a request of which upstreams die", () => {
    it("is run no more after three of them have, wherever it comes again", async () => {
        const poison = "/lookup/poison";
        const gates = ["gate", "yard", "quay", "lock", "pier"];
        const dieOfPoison = (index: number): UpstreamBehaviour => (request, response) => {
            if (request.url === poison) {
                fleet.members[index]!.crash(200);
                return;
            }
            sendWholeAnswer(request, response);
        };
        fleet = await startRelayFleet([
            ...gates.map(name => [name, sendWholeAnswer] as const),
            ...[0, 1, 2].map(index => ["desk", dieOfPoison(gates.length + index)] as const),
        ]);
        fleet.publish(table);
        const countPoisoned = (): number =>
            fleet.members.flatMap(({ received }) => received).filter(({ url }) => url === poison).length;
        for (let round = 0; round < 12; round += 1) {
            const gate = fleet.members[round % gates.length]!;
            await sendToEntry(gate, { path: poison, id: `p-${round}`, deadlineMs: 500 });
            await Promise.all([0, 1].map(entry => sendToEntry(fleet.members[entry]!, { id: `w-${round}-${entry}` })));
        }
        expect(countPoisoned()).toBeGreaterThan(1);
        expect(countPoisoned()).toBeLessThanOrEqual(6);
        expect((await sendToEntry(fleet.members[0]!, { id: "after" })).status).toBe(200);
    });
});

describe("an address that another upstream has taken over", () => {
    it("runs nothing that was meant for the former one", async () => {
        const refuseOthers: UpstreamBehaviour = (request, response) => {
            if (request.headers[testNames.target] === "i-new") {
                sendWholeAnswer(request, response);
                return;
            }
            sendUpstreamAnswer(request, response, 421, "another instance");
        };
        fleet = await startRelayFleet([["desk", refuseOthers], ["desk", sendWholeAnswer]]);
        fleet.publish(table);
        const sendAll = (name: string) =>
            Promise.all(
                Array.from({ length: 8 }, (unused, index) =>
                    sendToEntry(fleet.members[index % 2]!, {
                        method: "POST",
                        path: "/booking/",
                        id: `${name}-${index}`,
                    })),
            );
        const first = await sendAll("first");
        expect(first.every(({ status }) => status === 200 || status === 503)).toBe(true);
        expect(fleet.members[1]!.received.length).toBe(first.filter(({ status }) => status === 200).length);
        const second = await sendAll("second");
        expect(second.map(({ status }) => status)).toEqual(second.map(() => 200));
    });
});
