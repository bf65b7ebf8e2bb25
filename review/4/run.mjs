/** A request crashes each endpoint that runs it and comes again, while few other requests are under way. */
import { setTimeout } from "node:timers";
import { callOnce } from "../lib/client.mjs";
import { createConfig, runCase, sleep } from "../lib/fleet.mjs";

const recordFile = new URL("record.txt", import.meta.url).pathname;
const service = "netlist-store";
const host = "netlists.example";
const poisonPath = "/fetch/poison";
/** Time until a crashed endpoint is back, and the pause between two attempts of the request's client. */
const downMs = 3_000;
const comesAgainMs = 2_500;
const attempts = 16;
const stableWindowMs = 3_000;
const maxRetries = 3;
/** Pause between two other requests. */
const otherEveryMs = 4_000;

const config = createConfig(12, [{ name: "netlist-fetch", host, prefix: "/fetch/", type: "safe", service }], [service]);

await runCase(recordFile, async (fleet, isTroubled) => {
    const crashes = [];
    const machineOf = id => fleet.machines.find(({ endpoint }) => endpoint.id === id);
    const crash = run => {
        const { endpoint } = machineOf(run.endpoint);
        crashes.push(run);
        fleet.note(`${run.endpoint} crashes while it runs ${run.id}`);
        endpoint.crash();
        setTimeout(() => {
            void endpoint.open().then(() => fleet.note(`${run.endpoint} is back`));
        }, downMs);
    };
    const onRun = run => isTroubled && run.path === poisonPath && setTimeout(() => crash(run), 30);
    await fleet.start(
        ["porto-a", "porto-b", "braga-a", "aveiro-a"].map(zone => ({
            name: zone,
            zone,
            service,
            work: () => 220,
            onRun,
        })),
        config,
    );
    await sleep(1_500);
    let isEnded = false;
    const callers = (async () => {
        for (let count = 1; !isEnded; count += 1) {
            const machine = fleet.machines[count % fleet.machines.length];
            const id = `other-${count}`;
            void callOnce({ host: machine.host, port: fleet.port + 2 }, {
                host,
                path: `/fetch/${id}`,
                id,
                deadlineMs: 6_000,
            })
                .then(({ answer }) => fleet.note(`${id}: ${answer ? `answered ${answer.status}` : "no answer"}`));
            await sleep(otherEveryMs);
        }
    })();
    for (let count = 1; count <= attempts; count += 1) {
        const machine = fleet.machines[(count * 3) % fleet.machines.length];
        const id = `poison-${count}`;
        const { answer } = await callOnce(
            { host: machine.host, port: fleet.port + 2 },
            { host, path: poisonPath, id, deadlineMs: 6_000 },
        );
        fleet.note(`${id}: ${answer ? `answered ${answer.status} ${answer.body.slice(0, 80)}` : "no answer"}`);
        await sleep(comesAgainMs);
    }
    isEnded = true;
    await callers;
    await sleep(1_000);
    const knownAtMs = (crashes[2]?.atMs ?? Infinity) + stableWindowMs;
    const late = crashes.filter(({ atMs }) => atMs > knownAtMs);
    // The strictest reading: only what a node sends once more within one attempt of the client is a retry.
    const retries = late.filter(({ id }, index) => late.findIndex(other => other.id === id) < index);
    fleet.note(`${crashes.length} crashes, ${late.length} of them later than stable_window after the third`);
    fleet.note(`${retries.length} of these by retries of the nodes`);
    return retries.length > maxRetries
        ? [`BUDGET: ${late.length} endpoints crashed after that, ${retries.length} of them by retries`]
        : [];
});
