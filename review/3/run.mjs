/** Nodes are stopped and started in turn while clients send further safe requests before the first is answered. */
import { Connection } from "../lib/client.mjs";
import { createConfig, Readiness, runCase, sleep } from "../lib/fleet.mjs";

const recordFile = new URL("record.txt", import.meta.url).pathname;
const clientCount = 48;
/** Requests that a client has under way on its connection at most, and the mean of its pauses between two of them. */
const depth = 8;
const meanPauseMs = 150;
/** Pause after a connection without any answer. */
const refusedPauseMs = 500;
const runForMs = 12_000;
const stopAtMs = 2_500;
/** Pause between the stops of two machines, and the delay until a node that has ended starts again. */
const gapMs = 1_300;
const restartMs = 2_000;
const graceMs = 6_000;

const host = "barges.example";
const config = createConfig(12, [
    {
        name: "barge-status",
        host,
        prefix: "/status/",
        type: "safe",
        service: "fleetwatch",
        timeout: "1200ms",
        aim: "600ms",
    },
], ["fleetwatch", "slotbook"]);

/** Work times as for barge-status on the sheet: 220 ms in the mean, a spread of 0.3, one in a hundred five times as long. */
const readWork = request => Number(new URL(request.url, "http://x").searchParams.get("ms"));
const drawNormal = () => Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random());
const drawWork = () => {
    const workMs = 220 * Math.exp(0.3 * drawNormal() - 0.045) * (Math.random() < 0.01 ? 5 : 1);
    return Math.round(Math.min(1_700, workMs));
};
const drawPause = () => -meanPauseMs * Math.log(1 - Math.random());

await runCase(recordFile, async (fleet, isTroubled) => {
    await fleet.start([
        { name: "slotbook-a", zone: "pvl-a", service: "slotbook" },
        { name: "slotbook-b", zone: "pvl-a", service: "slotbook" },
        { name: "fleetwatch-a", zone: "pvl-b", service: "fleetwatch", work: readWork },
        { name: "fleetwatch-b", zone: "pvl-b", service: "fleetwatch", work: readWork },
    ], config);
    const readiness = new Readiness(fleet);
    await sleep(1_500);
    const stopped = fleet.machines.slice(0, 2);
    const startedAtMs = Date.now();
    const isOver = () => Date.now() > startedAtMs + runForMs;
    const stopInTurn = async () => {
        await sleep(stopAtMs);
        for (const machine of stopped) {
            machine.stopSentAtMs = Date.now();
            fleet.signal(machine, "SIGTERM");
            void machine.exited.then(async () => {
                await sleep(restartMs);
                fleet.startNode(machine);
                fleet.note(`node ${machine.name} starts again`);
            });
            await sleep(gapMs);
        }
    };
    const requests = [];
    const runClient = async (machine, client) => {
        const name = `${machine.name}-${client}`;
        let count = 0;
        let connection;
        await sleep(drawPause());
        while (!isOver()) {
            if (connection?.isClosed && connection.requests.every(({ answer }) => !answer)) {
                await sleep(refusedPauseMs);
            }
            if (!connection || connection.isClosed || connection.isClosing) {
                connection = new Connection({ host: machine.host, port: fleet.port + 2 });
            }
            const pending = connection.requests.filter(({ answer }) => !answer).length;
            if (pending < depth && readiness.hasNewWork(machine)) {
                count += 1;
                const id = `${name}-${count}`;
                const request = connection.send({
                    host,
                    path: `/status/${id}?ms=${drawWork()}`,
                    id,
                    deadlineMs: 2_500,
                });
                requests.push({ request, connection, machine });
            }
            await sleep(drawPause());
        }
    };
    await Promise.all([
        ...stopped.flatMap(machine =>
            Array.from({ length: clientCount }, (unused, client) => runClient(machine, client))
        ),
        isTroubled ? stopInTurn() : undefined,
    ]);
    await sleep(3_000);
    readiness.stop();
    const runs = new Map(fleet.machines.flatMap(({ endpoint }) => endpoint.runs).map(run => [run.id, run]));
    const lost = [];
    requests.forEach(({ request, connection, machine: { stopSentAtMs = Infinity } }) => {
        const { id, sentAtMs, answer } = request;
        const run = runs.get(id);
        const end = connection.isClosed ? `ended after ${connection.closedAtMs - sentAtMs} ms` : "open";
        const ended = answer
            ? `answered ${answer.status} after ${answer.atMs - sentAtMs} ms`
            : `no answer, connection ${end}`;
        const relativeMs = sentAtMs - stopSentAtMs;
        const sent = Number.isFinite(relativeMs) ? `sent ${relativeMs} ms after SIGTERM` : "sent";
        fleet.note(`${id}: ${sent}; ${run ? `run by ${run.endpoint}` : "not run"}; ${ended}`);
        const isPlanned = connection.closedAtMs >= stopSentAtMs
            && connection.closedAtMs < stopSentAtMs + graceMs + 1_000;
        if (!answer && run && connection.isClosed && isPlanned) {
            lost.push(id);
        }
    });
    fleet.note(`${requests.length} requests, ${lost.length} of them passed on to an endpoint and cut off`);
    return lost.map(id => `LOST: ${id} was passed on to an endpoint and its connection ended without an answer`);
});
