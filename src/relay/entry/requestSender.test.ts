import pino from "pino";
import { relayTimerTickMs } from "../../constants";
import { TimerWheel } from "../../tasks/_lib/timerWheel";
import { createOrganisations } from "../../testing/createOrganisations";
import { createRoute, createRoutingTable, createUpstreamRecord } from "../../testing/createRoute";
import { emptySlotStats } from "../../testing/emptySlotStats";
import { testHeaderNames } from "../../testing/startRelayFleet";
import { VirtualClock } from "../../testing/virtualClock";
import { AnswerTimes } from "../_lib/answerTimes";
import { RetryBudgets } from "../_lib/retryBudgets";
import { ActiveRequests } from "../activeRequests";
import { EventLog } from "../log";
import { RelayMetrics } from "../metrics";
import { ActiveRouting } from "../routing";
import { Shedding } from "../shedding";
import { type HopHandler, type HopRequest, type HopResult } from "../types";
import { UpstreamDirectory } from "../upstreamDirectory";
import { RequestSender, type SendResult } from "./requestSender";

interface SentHop {
    readonly hopRequest: HopRequest;
    readonly handler: HopHandler;
}

const createSender = () => {
    const clock = new VirtualClock();
    const readNowMs = clock.readMonotonicMs;
    const route = createRoute({ maxUpstreams: 4 });
    const directory = new UpstreamDirectory("pvl-a", readNowMs);
    directory.update(["a", "b", "c", "d"].map(id => createUpstreamRecord({ id, host: id })));
    const hops: SentHop[] = [];
    const results: SendResult[] = [];
    const routing = new ActiveRouting(() => 0.5, () => undefined);
    routing.adopt(createRoutingTable(1, [route]), "test");
    const sender = new RequestSender({
        route,
        service: "desk",
        parent: undefined,
        startedAtMs: 0,
        request: {
            requestId: "r-1",
            method: "GET",
            path: "/lookup/1",
            rawHeaders: [],
            body: undefined,
            route: route.name,
            callerService: "gate",
            idempotent: true,
            nested: false,
            rank: 2,
            targetLatencyMs: 500,
            deadlineAtMs: 2_000,
        },
    }, {
        openStream: () => {
            throw new Error("no answer is streamed");
        },
        finish: result => results.push(result),
        writeLog: () => undefined,
    }, {
        headerNames: testHeaderNames,
        organisations: createOrganisations(clock),
        readService: () => "gate",
        routing,
        directory,
        shedding: new Shedding(readNowMs),
        activeRequests: new ActiveRequests("."),
        retryBudgets: new RetryBudgets({ ratio: 1, slack: 100, windowMs: 10_000 }, readNowMs),
        answerTimes: new AnswerTimes(),
        wheel: new TimerWheel(clock, relayTimerTickMs),
        log: new EventLog(pino({ level: "silent" }), readNowMs),
        metrics: new RelayMetrics(() => ({ ...emptySlotStats, version: 1, upstreams: 4, learnedAgeMs: 0 })),
        sendHop: (hopRequest, handler) => {
            hops.push({ hopRequest, handler });
            return () => undefined;
        },
        readNowMs,
        readStaleMs: () => 0,
        computeTimeLeftMs: () => Infinity,
        sampleRandom: () => 0.5,
    });
    const settleLast = (result: HopResult): void => hops[hops.length - 1]!.handler.settle(result, undefined);
    const listRetryFlags = (): readonly boolean[] => hops.map(({ hopRequest }) => hopRequest.isRetry);
    return { sender, settleLast, listRetryFlags, results };
};

const lost: HopResult = { kind: "may-have-run", cause: "connection" };
const refused: HopResult = { kind: "not-run", reason: "leaving" };

describe("a request that is sent more than once", () => {
    it("is no retry while no attempt has reached an upstream", () => {
        const { sender, settleLast, listRetryFlags } = createSender();
        sender.start();
        settleLast(refused);
        expect(listRetryFlags()).toEqual([false, false]);
    });

    it("stays a retry when a node refuses the retry and it is rerouted", () => {
        const { sender, settleLast, listRetryFlags } = createSender();
        sender.start();
        settleLast(lost);
        settleLast(refused);
        expect(listRetryFlags()).toEqual([false, true, true]);
    });
});
