/** A node is stopped as planned while upstreams are at work on requests whose bodies came in chunks. */
import { setTimeout as wait } from "node:timers/promises";
import { createAgent, Deployment, runCase, send } from "../lib-2/deployment.mjs";
import { answer, readBody } from "../lib-2/upstream.mjs";

const hasTrouble = process.env["TROUBLE"] !== "0";
/** "length" sends all bodies with a length instead of in chunks. */
const framing = process.env["FRAMING"] ?? "chunks";
const graceMs = 6_000;
const timeoutMs = 5_000;
const deadlineMs = 6_000;
const [shortWorkMs, longWorkMs] = [30, 1_500];
const longWork = "long";
/** A group is some requests with little work, then as many with more; a while later comes the next group. */
const groupSize = 4;
const pauseInGroupMs = 300;
const groupIntervalMs = 3_000;
const groupCount = 3;
/** Time from the last group to the signal. */
const stopDelayMs = 300;
const route = {
    name: "sweep",
    host: "desk.example",
    prefix: "/sweep/",
    route_type: "safe",
    timeout: `${timeoutMs}ms`,
    target_latency: "2s",
    priority: 0,
    service: "desk",
    max_attempts: 1,
};

const deployment = new Deployment(["gate", "desk", "desk"]);
const ends = new Map();

const handle = async (run, request, response) => {
    response.once("close", () => ends.set(run.id, { atMs: Date.now(), isWhole: response.writableFinished }));
    await readBody(request).catch(() => undefined);
    await wait(run.url.includes(longWork) ? longWorkMs : shortWorkMs);
    if (!response.destroyed) {
        answer(request, response, 200, "done");
    }
};

await runCase(deployment, new URL("record.txt", import.meta.url), async () => {
    deployment.configure(1, [route]);
    await deployment.start(handle);
    await wait(4_000);
    const agent = createAgent();
    const [machine] = deployment.machines;
    const answers = [];
    let stopAtMs = Infinity;
    const sendSome = (group, work) => {
        for (let member = 1; member <= groupSize; member += 1) {
            const text = `sweep ${group}.${member}`;
            answers.push(send(machine, {
                method: "POST",
                host: route.host,
                path: `/sweep/${work}/${group}.${member}`,
                deadlineMs,
                agent,
                ...framing === "chunks" ? { chunks: [text, " ends"] } : { body: text },
            }));
        }
    };
    for (let group = 1; group <= groupCount; group += 1) {
        sendSome(group, "short");
        await wait(pauseInGroupMs);
        sendSome(group, longWork);
        await wait(group < groupCount ? groupIntervalMs : stopDelayMs);
    }
    if (hasTrouble) {
        deployment.nodes[0].signal("SIGTERM");
        stopAtMs = Date.now();
        deployment.note(`${machine.name} gets SIGTERM`);
    }
    const ended = await Promise.all(answers);
    await wait(500);
    const runsById = new Map(deployment.runs.map(run => [run.id, run]));
    const isLost = ({ id, sentAtMs, endedAtMs, isSigned, isComplete }) => {
        const isDuringStop = endedAtMs > stopAtMs && sentAtMs < stopAtMs + graceMs;
        const isServed = isSigned && isComplete;
        return isDuringStop && !isServed && runsById.has(id) && endedAtMs - sentAtMs < timeoutMs
            && endedAtMs < stopAtMs + graceMs * 5 / 6;
    };
    ended.forEach(each => {
        const { id, sentAtMs, endedAtMs, status, isSigned } = each;
        const run = runsById.get(id);
        const [place, end] = [run ? `at work at ${run.upstream.id}` : "not run", ends.get(id)];
        const endText = end ? `${end.isWhole ? "answered" : "broken off"} after ${end.atMs - run.atMs} ms` : "no end";
        const own = isSigned ? "the upstream's" : "the node's own";
        const verdict = isLost(each) ? ", lost" : "";
        deployment.note(
            `${id}: ${place}, ${endText}; the caller got ${status}, ${own}, after ${endedAtMs - sentAtMs} ms${verdict}`,
        );
    });
    const lost = ended.filter(isLost);
    deployment.note(`${lost.length} requests were broken off around the planned stop while an upstream was at work`);
    if (runsById.size === 0) {
        throw new Error("no request ran");
    }
    return lost.length > 0;
});
