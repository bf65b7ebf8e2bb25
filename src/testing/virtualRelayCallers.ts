/** Callers of a virtual relay fleet: an open loop, each request returning once when it was refused or failed. */
import { createRandom } from "../_lib/createRandom";
import { msPerSecond } from "../constants";
import { type Route } from "../routing/types";
import { findHeader } from "../tasks/_lib/headers";
import { type ReceivedAnswer } from "./fakeExchange";
import { type VirtualClock } from "./virtualClock";
import { type VirtualRelayFleet } from "./virtualRelayFleet";
import { createEntryRequest } from "./virtualRelayUpstream";

/** One kind of request. */
export interface RequestClass {
    readonly route: Route;
    readonly ratePerSecond: number;
    readonly deadlineMs: number;
}

/** How requests of one kind ended in a span of time, by when they began. */
export interface RequestCounts {
    sent: number;
    inTarget: number;
    late: number;
    refused: number;
    failed: number;
}

interface Asked {
    readonly kind: RequestClass;
    readonly id: string;
    readonly startMs: number;
    isReturned: boolean;
}

const latencyMs = 8;
const windowMs = 1_000;
/** Callers wait as they are told up to this share of the time that they have left. */
const honouredShare = 1 / 3;
const defaultReturnMs = 100;

/** Owns the requests under way and their counts by second and kind. */
export class VirtualRelayCallers {
    private readonly sampleRandom: () => number;
    private readonly windows = new Map<string, RequestCounts>();
    private lastId = 0;

    constructor(
        private readonly fleet: VirtualRelayFleet,
        private readonly clock: VirtualClock,
        private readonly classes: readonly RequestClass[],
        private readonly computeSurge: (atMs: number) => number,
        seed: number,
    ) {
        this.sampleRandom = createRandom(seed);
    }

    /** Begins the load. */
    start(): void {
        this.classes.forEach(kind => this.planNext(kind));
    }

    /** Sums the counts of a kind over requests that began in a span, in seconds. */
    count(route: Route, fromSecond: number, toSecond: number): RequestCounts {
        const sum: RequestCounts = { sent: 0, inTarget: 0, late: 0, refused: 0, failed: 0 };
        for (let second = fromSecond; second < toSecond; second += 1) {
            const counts = this.open(route, second * windowMs);
            (Object.keys(sum) as (keyof RequestCounts)[]).forEach(key => {
                sum[key] += counts[key];
            });
        }
        return sum;
    }

    private planNext(kind: RequestClass): void {
        const rate = kind.ratePerSecond * this.computeSurge(this.clock.readMonotonicMs());
        this.clock.schedule(-Math.log(1 - this.sampleRandom()) * msPerSecond / rate, () => {
            this.lastId += 1;
            const asked = { kind, id: `r${this.lastId}`, startMs: this.clock.readMonotonicMs(), isReturned: false };
            this.open(kind.route, asked.startMs).sent += 1;
            this.send(asked);
            this.planNext(kind);
        });
    }

    private send(asked: Asked): void {
        const node = Math.floor(this.sampleRandom() * this.fleet.size);
        const id = asked.isReturned ? `${asked.id}b` : asked.id;
        const request = createEntryRequest(
            asked.kind.route,
            id,
            this.computeLeftMs(asked),
            answer => this.clock.schedule(latencyMs, () => this.receive(asked, answer)),
        );
        this.clock.schedule(latencyMs, () => this.fleet.send(node, request));
    }

    private receive(asked: Asked, answer: ReceivedAnswer): void {
        const { route } = asked.kind;
        const status = answer.head?.status ?? 0;
        const counts = this.open(route, asked.startMs);
        if (status === 200) {
            const isInTarget = this.clock.readMonotonicMs() - asked.startMs <= route.targetLatencyMs;
            counts[isInTarget ? "inTarget" : "late"] += 1;
            return;
        }
        const leftMs = this.computeLeftMs(asked);
        const mayReturn = !asked.isReturned && leftMs > 0 && (route.idempotent || status === 503);
        if (!mayReturn) {
            counts[status === 503 ? "refused" : "failed"] += 1;
            return;
        }
        asked.isReturned = true;
        const told = Number(findHeader(answer.head?.rawHeaders ?? [], "retry-after") ?? 0) * msPerSecond;
        this.clock.schedule(Math.min(told || defaultReturnMs, leftMs * honouredShare), () => this.send(asked));
    }

    private computeLeftMs({ kind, startMs }: Asked): number {
        return startMs + kind.deadlineMs - this.clock.readMonotonicMs();
    }

    private open({ name }: Route, atMs: number): RequestCounts {
        const key = `${name} ${Math.floor(atMs / windowMs)}`;
        const counts = this.windows.get(key) ?? { sent: 0, inTarget: 0, late: 0, refused: 0, failed: 0 };
        this.windows.set(key, counts);
        return counts;
    }
}
