import fc from "fast-check";
import { parseImportance } from "../../decisions/mergeImportance";
import { parseRemainingMs } from "../../decisions/parseRemainingMs";
import { createServicePolicy } from "../../testing/createPolicy";
import { CollectingSink, FakeCallRequest } from "../../testing/fakeExchange";
import { VirtualClock } from "../../testing/virtualClock";
import { createEntryCall, createPeerCall } from "./createCall";
import { findHeader, noHeaders, stripHeaders } from "./headers";
import { TimerWheel } from "./timerWheel";

const testedHeaderNames = [
    "pomelovalve-action",
    "pomelovalve-retries",
    "Pomelovalve-Deadline",
    "pomelovalve-importance",
    "pomelovalve-caller",
    "Connection",
    "TE",
    "x-other",
];

const arbitraryHeaders = fc.array(fc.tuple(fc.constantFrom(...testedHeaderNames), fc.string()), { maxLength: 12 }).map(
    pairs => pairs.flat(),
);

const createOptions = () => {
    const servicePolicy = createServicePolicy();
    const match = { service: "desk", servicePolicy, route: servicePolicy.routes[0]! };
    return { id: "call-1", match, clock: new VirtualClock(), createId: () => "created" };
};

const createRequest = (rawHeaders: readonly string[]) =>
    new FakeCallRequest("GET", "/items/1", rawHeaders, undefined, new CollectingSink(() => undefined));

describe("request headers that untrusted callers can set", () => {
    it("never lead to a call that exceeds the policy's limits", () => {
        fc.assert(
            fc.property(arbitraryHeaders, rawHeaders => {
                const options = createOptions();
                const calls = [
                    createEntryCall(createRequest(rawHeaders), "caller", 3, options),
                    createPeerCall(createRequest(rawHeaders), 3, options),
                ];
                calls.forEach(call => {
                    expect(call.retryAllowance).toBeGreaterThanOrEqual(0);
                    expect(call.retryAllowance).toBeLessThanOrEqual(3);
                    expect(call.deadlineAtMs).toBeLessThanOrEqual(options.match.route.deadlineMs);
                    expect(["critical", "normal", "low"]).toContain(call.importance);
                });
            }),
            { seed: 5, numRuns: 1_000 },
        );
    });

    it("grant retries to an entry call only if its action identifier is at most 250 ms old", () => {
        const options = createOptions();
        const createActionId = (ageMs: number): string => {
            const hex = (options.clock.readWallMs() - ageMs).toString(16).padStart(12, "0");
            return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
        };
        const countRetries = (ageMs: number): number =>
            createEntryCall(createRequest(["pomelovalve-action", createActionId(ageMs)]), "caller", 3, options)
                .retryAllowance;
        expect([0, 200, 1_000, -1_000].map(countRetries)).toEqual([3, 3, 0, 0]);
    });

    it("are never forwarded if they are this system's own", () => {
        fc.assert(
            fc.property(arbitraryHeaders, rawHeaders => {
                const kept = stripHeaders(rawHeaders, noHeaders);
                const names = kept.filter((text, index) => index % 2 === 0).map(name => name.toLowerCase());
                expect(names.filter(name => name.startsWith("pomelovalve-") || name === "te")).toEqual([]);
            }),
            { seed: 6, numRuns: 500 },
        );
    });

    it("are found by name regardless of case", () => {
        expect(findHeader(["X-One", "1", "RETRY-AFTER", "2"], "retry-after")).toBe("2");
    });

    it("yield a deadline or an importance only if it is valid", () => {
        expect(["50", "", "-1", "1e3", "600001", undefined].map(parseRemainingMs)).toEqual([
            50,
            undefined,
            undefined,
            undefined,
            undefined,
            undefined,
        ]);
        expect(["critical", "toString", "", undefined].map(parseImportance)).toEqual([
            "critical",
            undefined,
            undefined,
            undefined,
        ]);
    });
});

/** Computes the tick at which a timeout added at time 0 expires; a tick takes 10 ms. */
const computeExpiryTick = (delayMs: number): number => Math.max(1, Math.ceil(delayMs / 10));

describe("TimerWheel", () => {
    it("expires timeouts in order and not early, except those that were removed", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 0, max: 5_000 }), { maxLength: 50 }), delays => {
                const clock = new VirtualClock();
                const wheel = new TimerWheel(clock);
                const expired: number[] = [];
                delays.forEach(delayMs =>
                    wheel.add(delayMs, () => {
                        expect(clock.readMonotonicMs()).toBeGreaterThanOrEqual(delayMs);
                        expired.push(computeExpiryTick(delayMs));
                    })
                );
                wheel.remove(wheel.add(100, () => expired.push(-1)));
                clock.runUntil(6_000);
                expect(expired).toEqual(delays.map(computeExpiryTick).sort((a, b) => a - b));
            }),
            { seed: 7, numRuns: 200 },
        );
    });

    it("expires the timeouts that became due during a pause of the process", () => {
        const clock = new VirtualClock();
        let isPaused = true;
        const wheel = new TimerWheel({
            ...clock,
            startTimeout: () => () => undefined,
            readMonotonicMs: () => isPaused ? 0 : 60_000,
        });
        let expired = 0;
        wheel.add(50, () => {
            expired += 1;
        });
        isPaused = false;
        wheel.expire();
        expect(expired).toBe(1);
    });
});
