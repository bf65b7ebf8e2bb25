import { TimerWheel } from "../../tasks/_lib/timerWheel";
import { VirtualClock } from "../../testing/virtualClock";
import { type SlotGrant, SlotQueue, type SlotRequest } from "./index";

interface Applied extends SlotRequest {
    readonly events: string[];
    grant?: SlotGrant;
}

const createQueue = (slots: number) => {
    const clock = new VirtualClock();
    const queue = new SlotQueue(new TimerWheel(clock), clock.readMonotonicMs);
    queue.updateSlots(slots);
    const apply = (name: string, events: string[], changes: Partial<SlotRequest> = {}): Applied => {
        const applicant: Applied = {
            route: "lookup",
            nested: false,
            rank: 2,
            targetLatencyMs: 500,
            deadlineAtMs: clock.readMonotonicMs() + 2_000,
            events,
            run: grant => {
                applicant.grant = grant;
                events.push(`${name} runs`);
            },
            refuse: reason => events.push(`${name} ${reason}`),
            ...changes,
        };
        queue.enqueue(applicant);
        return applicant;
    };
    return { clock, queue, apply };
};

describe("SlotQueue in a surge", () => {
    it("keeps a part of the declared slots free, since upstreams slow down when they are nearly full", () => {
        const { queue, apply } = createQueue(20);
        const events: string[] = [];
        Array.from({ length: 25 }, (unused, index) => apply(`r${index}`, events));
        expect(queue.readStats()).toMatchObject({ inFlight: 19, limit: 19, queued: 6 });
    });

    it("lets the calls of requests under way go before new requests", () => {
        const { queue, apply } = createQueue(1);
        const events: string[] = [];
        const first = apply("first", events);
        apply("new", events);
        apply("nested", events, { nested: true });
        queue.release(first.grant!, first, true);
        expect(events).toEqual(["first runs", "nested runs"]);
    });

    it("refuses a new request at once when its answer would come too late", () => {
        const { queue, apply } = createQueue(1);
        const events: string[] = [];
        Array.from({ length: 13 }, (unused, index) => apply(`r${index}`, events));
        expect(events).toEqual(["r0 runs", "r11 full", "r12 full"]);
        expect(queue.readStats().queued).toBe(10);
    });

    it("reports congestion before anything is refused", () => {
        const { queue, apply } = createQueue(1);
        const events: string[] = [];
        Array.from({ length: 9 }, (unused, index) => apply(`r${index}`, events));
        expect(events).toEqual(["r0 runs"]);
        expect(queue.computeCongestion({ nested: false, rank: 2, targetLatencyMs: 500 })).toBeGreaterThan(0.8);
    });

    it("lets important requests pass others, and tells them of no congestion that they don't meet", () => {
        const { queue, apply } = createQueue(1);
        const events: string[] = [];
        const first = apply("first", events, { nested: true });
        Array.from({ length: 8 }, (unused, index) => apply(`other${index}`, events, { nested: true }));
        expect(queue.computeCongestion({ nested: true, rank: 0, targetLatencyMs: 500 })).toBe(0);
        apply("important", events, { nested: true, rank: 0 });
        queue.release(first.grant!, first, true);
        expect(events).toEqual(["first runs", "important runs"]);
    });
});

describe("SlotQueue with answers that are lost", () => {
    it("gives the slots of overdue requests to others", () => {
        const { clock, apply } = createQueue(2);
        const events: string[] = [];
        apply("lost", events);
        apply("waiting", events, { nested: true });
        clock.runUntil(350);
        expect(events).toEqual(["lost runs"]);
        clock.runUntil(450);
        expect(events).toEqual(["lost runs", "waiting runs"]);
    });

    it("never frees all slots, in case the upstream is only slow", () => {
        const { clock, queue, apply } = createQueue(11);
        const events: string[] = [];
        Array.from({ length: 10 }, (unused, index) => apply(`lost${index}`, events));
        clock.runUntil(600);
        Array.from({ length: 20 }, (unused, index) => apply(`next${index}`, events, { nested: true }));
        expect(queue.readStats().inFlight).toBe(18);
    });
});
