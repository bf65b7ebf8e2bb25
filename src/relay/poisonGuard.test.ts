import pino from "pino";
import { VirtualClock } from "../testing/virtualClock";
import { EventLog } from "./log";
import { PoisonGuard } from "./poisonGuard";
import { type HopRequest } from "./types";

const createHopRequest = (path: string): HopRequest => ({
    requestId: "r-1",
    method: "GET",
    path,
    rawHeaders: ["host", "desk.example"],
    body: undefined,
    route: "lookup",
    callerService: "gate",
    upstreamId: "i-1",
    idempotent: true,
    nested: false,
    isRetry: false,
    rank: 1,
    targetLatencyMs: 500,
    deadlineAtMs: 5_000,
});

const createGuard = (isListening: () => boolean) => {
    const clock = new VirtualClock();
    let checkCount = 0;
    const guard = new PoisonGuard("node-1", clock, {
        log: new EventLog(pino({ level: "silent" }), clock.readMonotonicMs),
        listControlAddresses: () => [],
        isUpstreamListening: () => {
            checkCount += 1;
            return Promise.resolve(isListening());
        },
    });
    const runFor = async (durationMs: number): Promise<void> => {
        const untilMs = clock.readMonotonicMs() + durationMs;
        while (clock.readMonotonicMs() < untilMs) {
            clock.runUntil(clock.readMonotonicMs() + 10);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { guard, runFor, countChecks: () => checkCount };
};

describe("PoisonGuard", () => {
    it("suspects the requests of all connections that are lost in a crash, with one check", async () => {
        const { guard, runFor, countChecks } = createGuard(() => false);
        const paths = ["/1", "/2", "/3"];
        for (let crash = 0; crash < 2; crash += 1) {
            paths.forEach(path => guard.recordConnectionLoss(createHopRequest(path), true));
            await runFor(1_500);
        }
        expect(paths.map(path => guard.isQuarantined(createHopRequest(path)))).toEqual([true, true, true]);
        expect(countChecks()).toBe(2);
    });

    it("suspects a request whose upstream refuses connections only a little later", async () => {
        let checks = 0;
        const { guard, runFor } = createGuard(() => (checks += 1) % 2 === 1);
        for (let crash = 0; crash < 2; crash += 1) {
            guard.recordConnectionLoss(createHopRequest("/1"), true);
            await runFor(1_500);
        }
        expect(guard.isQuarantined(createHopRequest("/1"))).toBe(true);
    });

    // Guards against a guard that never checks its upstream again because one check has failed in an unexpected way.
    it("checks again after a check that has failed", async () => {
        let isFailing = true;
        const { guard, runFor, countChecks } = createGuard(() => {
            if (isFailing) {
                throw new Error("the check fails");
            }
            return false;
        });
        guard.recordConnectionLoss(createHopRequest("/1"), true);
        await runFor(1_500);
        isFailing = false;
        for (let crash = 0; crash < 2; crash += 1) {
            guard.recordConnectionLoss(createHopRequest("/1"), true);
            await runFor(1_500);
        }
        expect(countChecks()).toBe(3);
        expect(guard.isQuarantined(createHopRequest("/1"))).toBe(true);
    });

    it("suspects no request whose connection is lost while the upstream goes on", async () => {
        const { guard, runFor } = createGuard(() => true);
        for (let loss = 0; loss < 5; loss += 1) {
            guard.recordConnectionLoss(createHopRequest("/1"), true);
            await runFor(1_500);
        }
        expect(guard.isQuarantined(createHopRequest("/1"))).toBe(false);
    });
});
