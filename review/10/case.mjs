/** A few answers have a body that doesn't end until the caller closes; their requests have a timeout. */
import { Buffer } from "node:buffer";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as wait } from "node:timers/promises";
import { createAgent, Deployment, runCase, send } from "../lib-2/deployment.mjs";
import { answer } from "../lib-2/upstream.mjs";

const hasTrouble = process.env["TROUBLE"] !== "0";
const timeoutMs = 1_000;
const deadlineMs = 5_000;
const lateMs = 500;
const minUnanswered = 8;
const maxShare = 0.25;
const requestCount = 600;
const requestIntervalMs = 50;
/** One in so many answers has no end. */
const endlessInterval = 50;
const workMs = 30;
const garbage = Buffer.alloc(32 * 1024, "x");
const garbageIntervalMs = 20;
const route = {
    name: "lookup",
    host: "desk.example",
    prefix: "/lookup/",
    route_type: "safe",
    timeout: `${timeoutMs}ms`,
    target_latency: "500ms",
    priority: 0,
    service: "desk",
    max_attempts: 1,
};

const deployment = new Deployment(["gate", "desk", "desk", "desk"]);
const agent = createAgent();
let runs = 0;

/** Sends bytes in chunks until the connection is closed. */
const answerWithoutEnd = (request, response) => {
    response.writeHead(200, { "Request-Id": request.headers["request-id"], "Content-Type": "text/plain" });
    const timer = setInterval(() => response.write(garbage), garbageIntervalMs);
    response.once("close", () => clearInterval(timer));
};

const handle = async (run, request, response) => {
    runs += 1;
    if (hasTrouble && runs % endlessInterval === 0) {
        deployment.note(`the answer of ${run.upstream.id} to ${run.id} has no end`);
        answerWithoutEnd(request, response);
        return;
    }
    await wait(workMs);
    answer(request, response, 200, "done");
};

await runCase(deployment, new URL("record.txt", import.meta.url), async () => {
    deployment.configure(1, [route]);
    await deployment.start(handle);
    await wait(4_000);
    const answers = [];
    for (let count = 0; count < requestCount; count += 1) {
        answers.push(send(deployment.machines[0], {
            host: route.host,
            path: `/lookup/${count}`,
            deadlineMs,
            agent,
        }));
        await wait(requestIntervalMs);
    }
    const ended = await Promise.all(answers);
    const listLasting = ms => ended.filter(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > ms);
    const [lasting, unanswered] = [listLasting(timeoutMs), listLasting(timeoutMs + lateMs)];
    lasting.forEach(({ id, status, bytes, isComplete, sentAtMs, endedAtMs, error }) => {
        const text = isComplete ? "whole" : "not whole";
        deployment.note(`${id}: ${status}, ${bytes} bytes, ${text}, ended after ${endedAtMs - sentAtMs} ms ${error}`);
    });
    const served = ended.filter(({ status, isComplete, isSigned }) => status === 200 && isComplete && isSigned).length;
    deployment.note(`${served} of ${requestCount} requests were served`);
    deployment.note(`${lasting.length} requests lasted longer than the timeout of ${timeoutMs} ms`);
    deployment.note(`${unanswered.length} of them had no final answer ${lateMs} ms after it`);
    if (served < requestCount / 2) {
        throw new Error("most requests were not served");
    }
    return unanswered.length >= minUnanswered && unanswered.length > lasting.length * maxShare;
});
