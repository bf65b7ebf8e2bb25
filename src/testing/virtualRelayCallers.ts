/**
 * Open-loop callers of a virtual relay fleet. They retry a request at most once and only before its deadline. They
 * retry idempotent requests after any failure and other requests only after a 503.
 */
import { createRandom } from "../_lib/createRandom";
import { msPerSecond } from "../constants";
import { type Route } from "../routing/types";
import { findHeader } from "../tasks/_lib/headers";
import { type ReceivedAnswer } from "./fakeExchange";
import { type VirtualClock } from "./virtualClock";
import { type VirtualRelayFleet } from "./virtualRelayFleet";
import { createEntryRequest } from "./virtualRelayUpstream";

/** Requests of one route, and the mean rate at which they start. */
export interface RequestClass {
    readonly route: Route;
    readonly ratePerSecond: number;
    /** Time from the start of a request to its deadline, in milliseconds; a retry keeps the deadline. */
    readonly deadlineMs: number;
}

/** Numbers of requests of a route that started in a time window, by outcome. */
export interface RequestCounts {
    /** All requests; a retry doesn't count as another one. */
    sent: number;
    /** Answered with 200 within the target latency. */
    inTarget: number;
    /** Answered with 200 after the target latency. */
    late: number;
    /** Answered with 503, after the retry if there was one. */
    refused: number;
    /** Answered with another status or aborted, after the retry if there was one. */
    failed: number;
}

/** Adds up counts. */
export const addRequestCounts = (counts: readonly RequestCounts[]): RequestCounts => {
    const sum: RequestCounts = { sent: 0, inTarget: 0, late: 0, refused: 0, failed: 0 };
    const keys = Object.keys(sum) as (keyof RequestCounts)[];
    counts.forEach(entry =>
        keys.forEach(key => {
            sum[key] += entry[key];
        })
    );
    return sum;
};

interface PendingRequest {
    readonly requestClass: RequestClass;
    readonly id: string;
    readonly startMs: number;
    isRetry: boolean;
}

const oneWayLatencyMs = 8;
const windowMs = 1_000;
/** Upper bound of the delay before a retry, as a share of the time left until the deadline. */
const maxRetryDelayShare = 1 / 3;
/** Delay before a retry if the answer has no retry-after header, in milliseconds. */
const defaultRetryDelayMs = 100;

/** Sends requests with exponentially distributed gaps, and counts their outcomes by route and second of their start. */
export class VirtualRelayCallers {
    private readonly sampleRandom: () => number;
    private readonly countsByWindow = new Map<string, RequestCounts>();
    private lastId = 0;

    constructor(
        private readonly fleet: VirtualRelayFleet,
        private readonly clock: VirtualClock,
        private readonly classes: readonly RequestClass[],
        private readonly computeRateFactor: (atMs: number) => number,
        seed: number,
    ) {
        this.sampleRandom = createRandom(seed);
    }

    /** Schedules the first request of each class; each request schedules the next. */
    start(): void {
        this.classes.forEach(requestClass => this.scheduleNext(requestClass));
    }

    /** Sums the counts of a route over requests that started in [fromSecond, toSecond). */
    count(route: Route, fromSecond: number, toSecond: number): RequestCounts {
        const seconds = Array.from({ length: toSecond - fromSecond }, (unused, index) => fromSecond + index);
        return addRequestCounts(seconds.map(second => this.getCounts(route, second * windowMs)));
    }

    private scheduleNext(requestClass: RequestClass): void {
        const rate = requestClass.ratePerSecond * this.computeRateFactor(this.clock.readMonotonicMs());
        this.clock.schedule(-Math.log(1 - this.sampleRandom()) * msPerSecond / rate, () => {
            this.lastId += 1;
            const pending = {
                requestClass,
                id: `r${this.lastId}`,
                startMs: this.clock.readMonotonicMs(),
                isRetry: false,
            };
            this.getCounts(requestClass.route, pending.startMs).sent += 1;
            this.send(pending);
            this.scheduleNext(requestClass);
        });
    }

    private send(pending: PendingRequest): void {
        const nodeIndex = Math.floor(this.sampleRandom() * this.fleet.nodeCount);
        const id = pending.isRetry ? `${pending.id}b` : pending.id;
        const request = createEntryRequest(
            pending.requestClass.route,
            id,
            this.computeRemainingMs(pending),
            answer => this.clock.schedule(oneWayLatencyMs, () => this.receive(pending, answer)),
        );
        this.clock.schedule(oneWayLatencyMs, () => this.fleet.send(nodeIndex, request));
    }

    private receive(pending: PendingRequest, answer: ReceivedAnswer): void {
        const { route } = pending.requestClass;
        const status = answer.head?.status ?? 0;
        const counts = this.getCounts(route, pending.startMs);
        if (status === 200) {
            const isInTarget = this.clock.readMonotonicMs() - pending.startMs <= route.targetLatencyMs;
            counts[isInTarget ? "inTarget" : "late"] += 1;
            return;
        }
        const remainingMs = this.computeRemainingMs(pending);
        const mayRetry = !pending.isRetry && remainingMs > 0 && (route.idempotent || status === 503);
        if (!mayRetry) {
            counts[status === 503 ? "refused" : "failed"] += 1;
            return;
        }
        pending.isRetry = true;
        const retryAfterMs = Number(findHeader(answer.head?.rawHeaders ?? [], "retry-after") ?? 0) * msPerSecond;
        this.clock.schedule(
            Math.min(retryAfterMs || defaultRetryDelayMs, remainingMs * maxRetryDelayShare),
            () => this.send(pending),
        );
    }

    private computeRemainingMs({ requestClass, startMs }: PendingRequest): number {
        return startMs + requestClass.deadlineMs - this.clock.readMonotonicMs();
    }

    private getCounts({ name }: Route, atMs: number): RequestCounts {
        const key = `${name} ${Math.floor(atMs / windowMs)}`;
        const counts = this.countsByWindow.get(key) ?? { sent: 0, inTarget: 0, late: 0, refused: 0, failed: 0 };
        this.countsByWindow.set(key, counts);
        return counts;
    }
}
