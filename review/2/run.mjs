/** An endpoint in trouble sends bytes without end in the body of an answer; the platform enforces the memory limit. */
import { readFileSync } from "node:fs";
import { clearInterval, setInterval } from "node:timers";
import { callOnce, Connection } from "../lib/client.mjs";
import { createConfig, runCase, sleep } from "../lib/fleet.mjs";

const recordFile = new URL("record.txt", import.meta.url).pathname;
const memoryLimitMb = 350;
const memoryCheckMs = 50;
const restartMs = 1_000;
/** Number of faulty answers, one after the other, and the pause between them. */
const faultyAnswers = 2;
const faultyEveryMs = 9_000;
/** The bytes come at less than the speed of the machine's link, which is 1,000 Mbit/s. */
const floodTickMs = 5;
const floodBytesPerTick = 500_000;
/** Clients of the machine beside, each with a kept connection and one booking at a time; their work. */
const clientCount = 12;
const bookingPauseMs = 50;
const workMs = 290;
const maxLost = 3;

const config = createConfig(12, [
    { name: "sweep-submit", host: "sweeps.example", prefix: "/submit/", type: "unsafe", service: "sweep-broker" },
    { name: "corner-signoff", host: "corners.example", prefix: "/sign/", type: "unsafe", service: "signoff-ledger" },
], ["sweep-broker", "signoff-ledger"]);

/** Chunks with one byte of the body each and a long extension, which says nothing. */
const endlessPart = `1;${"e".repeat(4_000)}\r\nx\r\n`.repeat(Math.floor(floodBytesPerTick / 4_008));

/** Sends an answer whose body doesn't end until the caller closes the connection. */
const sendEndless = (response, id) => {
    const { socket } = response;
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    const timer = setInterval(() => {
        if (socket.destroyed) {
            clearInterval(timer);
        }
        else if (!socket.writableNeedDrain) {
            socket.write(endlessPart);
        }
    }, floodTickMs);
};

const readResidentMb = ({ child }) => {
    try {
        const [, kilobytes] = /VmRSS:\s+(\d+)/u.exec(readFileSync(`/proc/${child.pid}/status`, "utf8")) ?? [];
        return Number(kilobytes ?? 0) / 1024;
    }
    catch {
        return 0;
    }
};

await runCase(recordFile, async (fleet, isTroubled) => {
    const answer = (request, response, id) => {
        if (!isTroubled || !request.url.startsWith("/submit/faulty") || !response.socket) {
            return false;
        }
        fleet.note(`the endpoint begins an answer without end to ${id}`);
        sendEndless(response, id);
        return true;
    };
    const work = () => workMs;
    await fleet.start([
        { name: "broker-a", zone: "porto-a", service: "sweep-broker", work, answer },
        { name: "ledger-a", zone: "porto-a", service: "signoff-ledger", work },
        { name: "broker-b", zone: "porto-b", service: "sweep-broker", work },
        { name: "ledger-b", zone: "porto-b", service: "signoff-ledger", work },
    ], config);
    await sleep(1_500);
    if (readResidentMb(fleet.machines[0]) === 0) {
        throw new Error("the memory of a process can't be read");
    }
    const peaks = new Map();
    const enforceLimit = machine => {
        const usedMb = readResidentMb(machine);
        peaks.set(machine.name, Math.max(peaks.get(machine.name) ?? 0, usedMb));
        if (usedMb <= memoryLimitMb || machine.isDown) {
            return;
        }
        machine.isDown = true;
        fleet.note(`node ${machine.name} uses ${Math.round(usedMb)} MB: the platform kills it`);
        machine.child.kill("SIGKILL");
        void machine.exited.then(async () => {
            await sleep(restartMs);
            fleet.startNode(machine);
            machine.isDown = false;
        });
    };
    const limitTimer = setInterval(() => fleet.machines.forEach(enforceLimit), memoryCheckMs);
    const [machine] = fleet.machines;
    const address = { host: machine.host, port: fleet.port + 2 };
    let isEnded = false;
    const bookings = [];
    const runClient = async client => {
        let connection;
        for (let count = 1; !isEnded; count += 1) {
            if (!connection || connection.isClosed) {
                connection = new Connection(address);
                await sleep(300);
            }
            const isKept = connection.requests.length > 0;
            const id = `sign-${client}-${count}`;
            const request = connection.send({
                method: "POST",
                host: "corners.example",
                path: `/sign/${id}`,
                id,
                deadlineMs: 2_000,
            });
            bookings.push({ request, connection, isKept });
            while (!isEnded && !connection.isClosed && !request.answer) {
                await sleep(10);
            }
            await sleep(bookingPauseMs);
        }
    };
    const clients = Array.from({ length: clientCount }, (unused, client) => runClient(client));
    await sleep(2_000);
    for (let count = 1; count <= faultyAnswers; count += 1) {
        const faulty = {
            method: "POST",
            host: "sweeps.example",
            path: `/submit/faulty-${count}`,
            id: `faulty-${count}`,
            deadlineMs: 6_000,
        };
        void callOnce(address, faulty).then(({ answer: result }) =>
            fleet.note(`${faulty.id}: ${result ? `answered ${result.status}` : "no answer"}`)
        );
        await sleep(faultyEveryMs);
    }
    isEnded = true;
    await Promise.all(clients);
    clearInterval(limitTimer);
    const runs = new Map(fleet.machines.flatMap(({ endpoint }) => endpoint.runs).map(run => [run.id, run]));
    const lost = bookings.filter(({ request: { id, sentAtMs, answer: result }, connection, isKept }) => {
        const run = runs.get(id);
        const end = connection.isClosed ? `connection ended after ${connection.closedAtMs - sentAtMs} ms` : "open";
        fleet.note(
            `${id}: ${run ? `run by ${run.endpoint}` : "not run"}; ${result ? `answered ${result.status}` : end}`,
        );
        return isKept && run !== undefined && !result && connection.isClosed;
    });
    peaks.forEach((peakMb, name) => fleet.note(`node ${name}: at most ${Math.round(peakMb)} MB`));
    fleet.note(`${bookings.length} bookings, ${lost.length} of them passed on to a sound endpoint and cut off`);
    return lost.length > maxLost
        ? [`LOST: ${lost.length} bookings were passed on to a sound endpoint and their connections ended without an answer`]
        : [];
});
