/** Load pattern: callers keep sending over kept connections, fresh ones and in pipelines while a node stops. */
import { once } from "node:events";
import { Agent, request as sendRequest } from "node:http";
import { connect } from "node:net";
import { createRoute, createRoutingTable } from "../testing/createRoute";
import {
    awaitUntil,
    type FleetMember,
    formatRequest,
    type RelayFleet,
    sendOkAnswer,
    sendToEntry,
    startRelayFleet,
    testHeaderNames,
    type UpstreamHandler,
} from "../testing/startRelayFleet";

const table = createRoutingTable(1, [createRoute()]);
/** Deadline of requests that a stopping node still serves, in milliseconds. */
const shortDeadlineMs = 600;
const longDeadlineMs = 60_000;

let fleet: RelayFleet;
let stopped: Promise<void> | undefined;

beforeEach(() => {
    stopped = undefined;
});

afterEach(async () => {
    await stopped;
    await fleet.stop();
});

/** Id of a request that keeps a stopping node open, and the time until its answer, in milliseconds. */
const holdingId = "holding";
const holdMs = 1_200;

const createUpstream = (delayMs: number): UpstreamHandler => (request, response) => {
    const isHolding = request.headers[testHeaderNames.requestId] === holdingId;
    setTimeout(() => sendOkAnswer(request, response), isHolding ? holdMs : delayMs);
};

const startFleet = async (delayMs: number): Promise<FleetMember> => {
    const handler = createUpstream(delayMs);
    fleet = await startRelayFleet([["desk", handler], ["desk", handler], ["desk", handler]]);
    fleet.publish(table);
    return fleet.members[0]!;
};

/** Sends the stop signal while a request is pending; waits until callers have observed that the node is leaving. */
const beginStop = async (member: FleetMember): Promise<void> => {
    void sendToEntry(member, { id: holdingId });
    await awaitUntil(() => fleet.members.some(({ receivedRequests }) => receivedRequests.length > 0));
    stopped = member.node.stop();
    await new Promise(resolve => setTimeout(resolve, 2 * member.settings.leaveAfterMs));
};

/** Sends requests in one write over one connection; returns all that comes back until the node closes it. */
const sendPipelined = ({ settings }: FleetMember, deadlinesMs: readonly number[]): Promise<string> =>
    new Promise(resolve => {
        const chunks: string[] = [];
        const socket = connect(settings.entry.port, settings.entry.host);
        socket.on("data", chunk => chunks.push(chunk.toString("latin1")));
        socket.on("error", () => undefined);
        socket.once("close", () => resolve(chunks.join("")));
        socket.write(deadlinesMs.map((deadlineMs, index) => formatRequest({ id: `r-${index}`, deadlineMs })).join(""));
    });

const listStatuses = (text: string): readonly string[] =>
    [...text.matchAll(/HTTP\/1\.1 (\d+)/gu)].map(([, status]) => status!);

describe("a planned stop", () => {
    it("answers requests that follow a refused one in a pipeline, and closes after the last", async () => {
        const member = await startFleet(100);
        await beginStop(member);
        const text = await sendPipelined(member, [longDeadlineMs, shortDeadlineMs, shortDeadlineMs]);
        expect(listStatuses(text)).toEqual(["503", "200", "200"]);
        expect(text.match(/connection: close/giu)).toHaveLength(1);
    });

    // Guards against answers that are dropped behind one that waited for its turn and then closed the connection.
    it.each([1, 3, 8])(
        "answers the requests that follow while %i answers wait for an earlier one",
        async waitingCount => {
            const member = await startFleet(30);
            await beginStop(member);
            const { host, port } = member.settings.entry;
            const socket = connect(port, host);
            const chunks: string[] = [];
            const closed = once(socket, "close");
            socket.on("data", chunk => chunks.push(chunk.toString("latin1")));
            const send = (id: string): boolean => socket.write(formatRequest({ id, deadlineMs: 1_500 }));
            const countReceived = (): number =>
                fleet.members.flatMap(({ receivedRequests: received }) => received).length;
            send(holdingId);
            Array.from({ length: waitingCount }, (unused, index) => send(`w-${index}`));
            await awaitUntil(() => countReceived() === 2 + waitingCount);
            await new Promise(resolve => setTimeout(resolve, 200));
            send("late-1");
            send("late-2");
            await closed;
            const text = chunks.join("");
            // The first one holds the node open; each other one that an upstream has got is answered.
            expect(listStatuses(text)).toHaveLength(countReceived() - 1);
            expect(listStatuses(text).length).toBeGreaterThanOrEqual(1 + waitingCount);
            expect(text.match(/connection: close/giu)).toHaveLength(1);
        },
    );

    it("passes no request on that follows an answer which closes the connection", async () => {
        const member = await startFleet(10);
        await beginStop(member);
        const { host, port } = member.settings.entry;
        const socket = connect(port, host);
        let text = "";
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString("latin1");
            if (text.includes("close")) {
                socket.write(formatRequest({ id: "behind", deadlineMs: shortDeadlineMs }));
            }
        });
        socket.on("error", () => undefined);
        const closed = once(socket, "close");
        socket.write(formatRequest({ id: "r-0", deadlineMs: shortDeadlineMs }));
        await closed;
        await stopped;
        const ids = fleet.members.flatMap(({ receivedRequests: received }) => received)
            .map(({ headers }) => headers[testHeaderNames.requestId]);
        expect(ids).not.toContain("behind");
        expect(listStatuses(text)).toEqual(["200"]);
    });

    it("tells callers with each answer that it closes the connection", async () => {
        const member = await startFleet(10);
        await beginStop(member);
        expect(await sendPipelined(member, [shortDeadlineMs])).toMatch(/^HTTP\/1\.1 200 [^]*connection: close/iu);
    });

    it("answers a request that arrives while the node closes, over a connection that has been idle", async () => {
        const member = await startFleet(10);
        const { entry: { host, port } } = member.settings;
        const socket = connect(port, host);
        socket.write(formatRequest({ id: "r-0", deadlineMs: shortDeadlineMs }));
        await once(socket, "data");
        stopped = member.node.stop();
        await awaitUntil(async () => (await sendToEntry(member)).status === 0);
        socket.write(formatRequest({ id: "r-1", deadlineMs: shortDeadlineMs }));
        const [chunk] = await once(socket, "data") as Buffer[];
        expect(chunk!.toString("latin1")).toMatch(/^HTTP\/1\.1 503 [^]*connection: close/iu);
    });

    it("cuts off no request of callers that keep sending until it has ended", async () => {
        const member = await startFleet(20);
        const { host, port } = member.settings.entry;
        let isEnded = false;
        const outcomes: string[] = [];
        /** Whether a request was accepted; closing a listener resets the connections that it hasn't accepted yet. */
        const isAccepted = (id: string, isConnectionKept: boolean): boolean =>
            isConnectionKept
            || fleet.members.some(({ receivedRequests }) =>
                receivedRequests.some(({ headers }) => headers[testHeaderNames.requestId] === id)
            );
        const callOnce = (agent: Agent, id: string): Promise<void> =>
            new Promise(resolve => {
                const headers = {
                    Host: "desk.example",
                    [testHeaderNames.requestId]: id,
                    [testHeaderNames.deadline]: String(shortDeadlineMs),
                };
                const outgoing = sendRequest({ host, port, path: "/lookup/1", headers, agent }, response => {
                    response.resume();
                    response.once("close", () => {
                        outcomes.push(response.complete ? String(response.statusCode) : "broken off");
                        resolve();
                    });
                });
                outgoing.once("error", (error: Error) => {
                    outcomes.push(isAccepted(id, outgoing.reusedSocket) ? `cut off: ${error.message}` : "not accepted");
                    resolve();
                });
                outgoing.end();
            });
        const runCaller = async (caller: number): Promise<void> => {
            const agent = new Agent({ keepAlive: caller % 2 === 0, maxSockets: 1 });
            for (let index = 0; !isEnded; index += 1) {
                await callOnce(agent, `c-${caller}-${index}`);
                await new Promise(resolve => setTimeout(resolve, caller));
            }
            agent.destroy();
        };
        const callers = Array.from({ length: 16 }, (unused, caller) => runCaller(caller));
        await awaitUntil(() => outcomes.length > 100);
        stopped = member.node.stop();
        await stopped;
        isEnded = true;
        await Promise.all(callers);
        const unexpected = outcomes.filter(outcome => !["200", "503", "not accepted"].includes(outcome));
        expect(unexpected).toEqual([]);
    });
});
