import { TimerWheel } from "../../tasks/_lib/timerWheel";
import { VirtualClock } from "../../testing/virtualClock";
import { type SlotGrant, SlotQueue, type SlotRequest } from "./index";

interface TestRequest extends SlotRequest {
    readonly events: string[];
    grant?: SlotGrant;
}

const createQueue = (slots: number) => {
    const clock = new VirtualClock();
    const queue = new SlotQueue(new TimerWheel(clock), clock.readMonotonicMs);
    queue.updateSlots(slots);
    const schedule = (name: string, events: string[], overrides: Partial<SlotRequest> = {}): TestRequest => {
        const request: TestRequest = {
            route: "lookup",
            nested: false,
            rank: 2,
            targetLatencyMs: 500,
            deadlineAtMs: clock.readMonotonicMs() + 2_000,
            events,
            run: grant => {
                request.grant = grant;
                events.push(`${name} runs`);
            },
            refuse: reason => events.push(`${name} ${reason}`),
            ...overrides,
        };
        queue.schedule(request);
        return request;
    };
    return { clock, queue, schedule };
};

describe("SlotQueue under overload", () => {
    it("keeps a share of the declared slots free, because upstreams slow down when they are nearly full", () => {
        const { queue, schedule } = createQueue(20);
        const events: string[] = [];
        Array.from({ length: 25 }, (unused, index) => schedule(`r${index}`, events));
        expect(queue.readStats()).toMatchObject({ inFlight: 19, limit: 19, queued: 6 });
    });

    it("runs nested requests before new direct requests", () => {
        const { queue, schedule } = createQueue(1);
        const events: string[] = [];
        const first = schedule("first", events);
        schedule("new", events);
        schedule("nested", events, { nested: true });
        queue.release(first.grant!, first, true);
        expect(events).toEqual(["first runs", "nested runs"]);
    });

    it("refuses a direct request at once if its answer would exceed the target latency", () => {
        const { queue, schedule } = createQueue(1);
        const events: string[] = [];
        Array.from({ length: 13 }, (unused, index) => schedule(`r${index}`, events));
        expect(events).toEqual(["r0 runs", "r11 full", "r12 full"]);
        expect(queue.readStats().queued).toBe(10);
    });

    it("reports congestion before it refuses requests", () => {
        const { queue, schedule } = createQueue(1);
        const events: string[] = [];
        Array.from({ length: 9 }, (unused, index) => schedule(`r${index}`, events));
        expect(events).toEqual(["r0 runs"]);
        expect(queue.computeCongestion({ nested: false, rank: 2, targetLatencyMs: 500 })).toBeGreaterThan(0.8);
    });

    it("runs important requests first, and reports them no congestion from less important ones", () => {
        const { queue, schedule } = createQueue(1);
        const events: string[] = [];
        const first = schedule("first", events, { nested: true });
        Array.from({ length: 8 }, (unused, index) => schedule(`other${index}`, events, { nested: true }));
        expect(queue.computeCongestion({ nested: true, rank: 0, targetLatencyMs: 500 })).toBe(0);
        schedule("important", events, { nested: true, rank: 0 });
        queue.release(first.grant!, first, true);
        expect(events).toEqual(["first runs", "important runs"]);
    });
});

describe("SlotQueue with lost answers", () => {
    it("grants further slots in place of those held by overdue requests", () => {
        const { clock, schedule } = createQueue(2);
        const events: string[] = [];
        schedule("lost", events);
        schedule("waiting", events, { nested: true });
        clock.runUntil(350);
        expect(events).toEqual(["lost runs"]);
        clock.runUntil(450);
        expect(events).toEqual(["lost runs", "waiting runs"]);
    });

    it("does not replace all slots, because the upstream may only be slow", () => {
        const { clock, queue, schedule } = createQueue(11);
        const events: string[] = [];
        Array.from({ length: 10 }, (unused, index) => schedule(`lost${index}`, events));
        clock.runUntil(600);
        Array.from({ length: 20 }, (unused, index) => schedule(`next${index}`, events, { nested: true }));
        expect(queue.readStats().inFlight).toBe(18);
    });
});
