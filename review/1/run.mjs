/** One machine that watches the store is cut off from it; an endpoint beside another node drains meanwhile. */
import { readFileSync } from "node:fs";
import { setTimeout } from "node:timers";
import { callOnce } from "../lib/client.mjs";
import { createConfig, runCase, sleep } from "../lib/fleet.mjs";

const recordFile = new URL("record.txt", import.meta.url).pathname;
const services = ["netlist-store", "sweep-broker", "model-library", "signoff-ledger"];
const zones = ["porto-a", "braga-a"];
const cutMs = 5_500;
const drainMs = 2_000;
/** Time for which an endpoint serves beyond `drain` before it exits. */
const exitAfterMs = 500;
/** It is a quiet night: clients of the node book before the cut, and again these times after the acknowledgement. */
const bookingTimesMs = [2_250, 5_500];
const bookingsAtOnce = 3;
/** Pause between the other requests of these clients, which go to another service. */
const otherEveryMs = 100;
/** Work of one request, as for sweep-submit on the sheet. */
const workMs = 290;

const config = createConfig(
    12,
    services.map(service => ({
        name: `read-${service}`,
        host: `${service}.example`,
        prefix: "/read/",
        type: "unsafe",
        service,
    })),
    services,
);

/** Returns the place that a node said it reads changes from, as its log tells; used only to choose a machine. */
const readPlace = (fleet, machine) => {
    const places = [...readFileSync(fleet.logFile(machine), "utf8").matchAll(/place=(\S+)/gu)];
    return places.at(-1)?.[1];
};

/** Chooses a node that watches the store, and one that asks it, in the same zone. */
const chooseMachines = fleet => {
    const byHost = new Map(fleet.machines.map(machine => [machine.host, machine]));
    const asking = fleet.machines.find(machine => byHost.has(readPlace(fleet, machine)));
    return [byHost.get(readPlace(fleet, asking)), asking];
};

/** Waits until a machine sends its next watch to the store. */
const awaitWatch = async ({ proxy }) => {
    const { length } = proxy.watchTimes;
    while (proxy.watchTimes.length === length) {
        await sleep(10);
    }
};

await runCase(recordFile, async (fleet, isTroubled) => {
    await fleet.start(
        zones.flatMap(zone =>
            services.map((service, index) => ({ name: `${zone}-${index + 1}`, zone, service, work: () => workMs }))
        ),
        config,
    );
    await sleep(8_000);
    const [cut, drained] = chooseMachines(fleet);
    fleet.note(`${cut.name} watches the store, ${drained.name} asks ${cut.name}`);
    const other = fleet.machines.find(({ zone, service }) => zone !== drained.zone && service !== drained.service);
    const calls = [];
    const call = (name, { service }) =>
        calls.push(callOnce({ host: drained.host, port: fleet.port + 2 }, {
            method: "POST",
            host: `${service}.example`,
            path: `/read/${name}`,
            id: name,
            deadlineMs: 2_000,
        }));
    const book = time => {
        for (let count = 1; count <= bookingsAtOnce; count += 1) {
            call(`booking-${time}-${count}`, drained);
        }
    };
    let isEnded = false;
    const runOthers = async () => {
        for (let count = 1; !isEnded; count += 1) {
            call(`other-${count}`, other);
            await sleep(otherEveryMs);
        }
    };
    const others = runOthers();
    await awaitWatch(cut);
    book("before");
    await sleep(300);
    if (isTroubled) {
        fleet.note(`${cut.name} is cut off from the store`);
        cut.proxy.setCut(true);
        setTimeout(() => cut.proxy.setCut(false), cutMs);
    }
    await sleep(200);
    drained.state = "draining";
    drained.endpoint.isLeaving = true;
    const acknowledgedAtMs = fleet.register(drained);
    fleet.note(`the store acknowledges that ${drained.endpoint.id} drains`);
    bookingTimesMs.forEach(delayMs => setTimeout(() => book(delayMs), delayMs));
    await sleep(drainMs + exitAfterMs);
    fleet.note(`${drained.endpoint.id} exits`);
    fleet.remove(drained);
    drained.endpoint.close();
    await sleep(4_000);
    isEnded = true;
    await others;
    const results = new Map((await Promise.all(calls)).map(call => [call.id, call]));
    const runs = drained.endpoint.runs.filter(({ atMs }) => atMs > acknowledgedAtMs);
    runs.forEach(({ id, atMs }) => {
        const { answer, sentAtMs } = results.get(id);
        const delays = `sent ${sentAtMs - acknowledgedAtMs} ms, run ${
            atMs - acknowledgedAtMs
        } ms after the acknowledgement`;
        fleet.note(`${id}: ${delays}; ${answer ? `answered ${answer.status}` : "no answer"}`);
    });
    [...results.values()].filter(({ id }) => id.startsWith("booking")).forEach(({ id, sentAtMs, answer }) => {
        const ended = answer ? `answered ${answer.status}` : "no answer";
        fleet.note(`${id}: sent ${sentAtMs - acknowledgedAtMs} ms after the acknowledgement; ${ended}`);
    });
    const late = runs.filter(({ id, atMs }) =>
        atMs > acknowledgedAtMs + drainMs && results.get(id).sentAtMs > acknowledgedAtMs + drainMs
    );
    fleet.note(`${calls.length} requests, ${late.length} sent and run later than drain`);
    return late.length > 0 ? [`DRAIN: ${late.length} requests reached ${drained.endpoint.id} later than drain`] : [];
});
