import { TimerWheel } from "../tasks/_lib/timerWheel";
import { createLogCollector } from "../testing/createLogCollector";
import { createUpstreamRecord } from "../testing/createRoute";
import { testHeaderNames } from "../testing/startRelayFleet";
import { VirtualClock } from "../testing/virtualClock";
import { LocalUpstream } from "./localUpstream";
import { EventLog } from "./log";
import { type SlotGrant, SlotQueue, type SlotRequest } from "./slotQueue";

const createLimitHeader = (perSecond: number): readonly string[] => [testHeaderNames.rateLimit, `${perSecond}`];

const createContext = () => {
    const clock = new VirtualClock();
    const readNowMs = clock.readMonotonicMs;
    const slots = new SlotQueue(new TimerWheel(clock), readNowMs);
    const log = new EventLog(createLogCollector().logger, readNowMs);
    const upstream = new LocalUpstream({ headerNames: testHeaderNames, slots, log, readNowMs });
    upstream.update(createUpstreamRecord({ slots: 100, bornAtMs: 1 }));
    const ranAtMs: number[] = [];
    /** Offers requests that are answered at once, so that only the rate limits them. */
    const offer = (count: number): void => {
        for (let index = 0; index < count; index += 1) {
            const request: SlotRequest = {
                route: "lookup",
                nested: true,
                rank: 2,
                targetLatencyMs: 100_000,
                deadlineAtMs: readNowMs() + 60_000,
                run: (grant: SlotGrant) => {
                    ranAtMs.push(readNowMs());
                    clock.schedule(1, () => slots.release(grant, request, true));
                },
                refuse: () => undefined,
            };
            slots.schedule(request);
        }
    };
    return { clock, slots, upstream, offer, ranAtMs };
};

describe("LocalUpstream", () => {
    it("passes requests on at the rate that the answers name", () => {
        const { clock, upstream, offer, ranAtMs } = createContext();
        upstream.observeAnswer(createLimitHeader(5));
        offer(100);
        clock.runUntil(10_000);
        expect(ranAtMs.length).toBeGreaterThanOrEqual(48);
        expect(ranAtMs.length).toBeLessThanOrEqual(53);
    });

    it("keeps a limit when a single answer overtakes those that name it", () => {
        const { clock, upstream, offer, ranAtMs } = createContext();
        upstream.observeAnswer(createLimitHeader(5));
        upstream.observeAnswer([]);
        offer(100);
        clock.runUntil(2_000);
        expect(ranAtMs.length).toBeLessThanOrEqual(13);
    });

    it("ends a limit when answers no longer name it", () => {
        const { clock, upstream, offer, ranAtMs } = createContext();
        upstream.observeAnswer(createLimitHeader(5));
        offer(50);
        clock.runUntil(1_100);
        upstream.observeAnswer([]);
        clock.runUntil(1_300);
        expect(ranAtMs.length).toBe(50);
    });

    it("ends a limit when another upstream starts at the address", () => {
        const { clock, upstream, offer, ranAtMs } = createContext();
        upstream.observeAnswer(createLimitHeader(5));
        upstream.update(createUpstreamRecord({ slots: 100, bornAtMs: 2 }));
        upstream.observeAnswer([]);
        offer(50);
        clock.runUntil(100);
        expect(ranAtMs.length).toBe(50);
    });

    // Guards against a burst from a restarted node, which doesn't know the limit that its upstream has named.
    it("uses few slots until the first answer", () => {
        const { slots, upstream } = createContext();
        expect(slots.readStats().limit).toBeLessThanOrEqual(8);
        upstream.observeAnswer([]);
        expect(slots.readStats().limit).toBe(95);
    });

    it("refuses soon what would wait long for the rate, so that it goes to another upstream", () => {
        const { slots, upstream, clock } = createContext();
        upstream.observeAnswer(createLimitHeader(5));
        const reasons: string[] = [];
        Array.from({ length: 10 }, () =>
            slots.schedule({
                route: "lookup",
                nested: true,
                rank: 2,
                targetLatencyMs: 1_700,
                deadlineAtMs: 60_000,
                run: () => undefined,
                refuse: reason => reasons.push(reason),
            }));
        expect(reasons).toHaveLength(8);
        clock.runUntil(1_000);
        expect(reasons).toHaveLength(8);
    });

    it("reports the slots that the rate keeps in use, so that others choose with it in mind", () => {
        const { clock, slots, upstream, offer } = createContext();
        upstream.observeAnswer(createLimitHeader(5));
        offer(3);
        clock.runUntil(1_000);
        expect(slots.readStats().limit).toBe(1);
    });
});
