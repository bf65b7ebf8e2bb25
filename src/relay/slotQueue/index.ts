/** Limits the number of requests that the local upstream serves concurrently, and queues further ones. */
import { msPerSecond } from "../../constants";
import { computeCongestion } from "../../decisions/computeCongestion";
import { computeDueDelay, type DueDelayInput } from "../../decisions/computeDueDelay";
import { computeMaxSlotWait, computeSlotWait } from "../../decisions/computeSlotWait";
import {
    computeTokenWaitMs,
    createTokenBucket,
    takeToken,
    type TokenBucket,
    updateTokenRate,
} from "../../decisions/tokenBucket";
import { type Timeout, type TimerWheel } from "../../tasks/_lib/timerWheel";

/** A request that needs a slot. */
export interface SlotRequest {
    readonly route: string;
    readonly nested: boolean;
    readonly rank: number;
    readonly targetLatencyMs: number;
    readonly deadlineAtMs: number;
    /** Called when the request gets a slot; the request must later pass the grant to `release`. */
    run(grant: SlotGrant): void;
    /** Called with `full` if the expected wait is too long, and with `expired` after too long a wait in the queue. */
    refuse(reason: "full" | "expired"): void;
}

/** Slot that a request holds, with the timer that detects an overdue answer. */
export interface SlotGrant {
    readonly startedAtMs: number;
    /** Whether the answer is so late that it has probably been lost. */
    isOverdue: boolean;
    timeout: Timeout | undefined;
}

interface QueueEntry {
    readonly request: SlotRequest;
    /** Monotonic time, in milliseconds; the queue is in ascending order of it. */
    readonly dueAtMs: number;
    timeout: Timeout | undefined;
}

/** Load statistics of the upstream and its queue. */
export interface SlotStats {
    readonly inFlight: number;
    readonly queued: number;
    /** Concurrency limit, in slots; with a rate limit, the number of slots that it keeps in use. */
    readonly limit: number;
    /** Moving mean of the service times of answered requests, in milliseconds; 0 before the first one. */
    readonly meanServiceMs: number;
    /** Share of the slot time used by direct requests, 0 to 1. */
    readonly directShare: number;
}

/** Share of the declared slots that may be in use; upstreams slow down when they are nearly full. */
const usedSlotShare = 0.95;
/** Concurrency limit before the record of the upstream has been read, in slots. */
const initialLimit = 8;
/** Weight of one service time in the moving means of the service time. */
const meanServiceWeight = 0.05;
/** Time after which a request is overdue, as a multiple of its route's mean service time; see `minOverdueMs`. */
const overdueFactor = 8;
/** Lower bound of the time after which a request is overdue, in milliseconds; applies if `overdueFactor` gives less. */
const minOverdueMs = 300;
/** Longest wait of a request at an upstream with a rate limit, as a share of the target latency. */
const maxTokenWaitShare = 0.25;
/** Maximum number of overdue requests that do not count against the concurrency limit, as a share of the limit. */
const maxOverdueShare = 0.8;
/** Weight in the direct share of an answered request with the mean service time; it grows with the service time. */
const directShareWeight = 0.02;
/** Mean service time assumed before the first answer, in milliseconds. */
const initialServiceMs = 50;

/** Grants slots in the order of due times; refuses a request at once if its expected wait is too long. */
export class SlotQueue {
    private readonly queue: QueueEntry[] = [];
    private readonly meanServiceMsByRoute = new Map<string, number>();
    private limit = initialLimit;
    private inFlight = 0;
    private overdueCount = 0;
    private meanServiceMs = 0;
    private directShare = 1;
    private ratePerSecond: number | undefined;
    /** Tokens of the upstream's rate limit; undefined without one. */
    private tokens: TokenBucket | undefined;
    private tokenTimeout: Timeout | undefined;

    constructor(private readonly wheel: TimerWheel, private readonly readNowMs: () => number) {}

    /** Sets the concurrency limit from the number of slots that the upstream declares; keeps it if that is unknown. */
    updateSlots(slots: number | undefined): void {
        if (slots === undefined) {
            return;
        }
        this.limit = Math.max(1, Math.floor(slots * usedSlotShare));
        this.runQueued();
    }

    /** Limits the requests that the upstream gets in a second; undefined ends the limit. */
    updateRate(ratePerSecond: number | undefined): void {
        if (ratePerSecond === this.ratePerSecond) {
            return;
        }
        const nowMs = this.readNowMs();
        this.ratePerSecond = ratePerSecond;
        if (ratePerSecond === undefined) {
            this.tokens = undefined;
        }
        else {
            this.tokens = this.tokens
                ? updateTokenRate(this.tokens, ratePerSecond, nowMs)
                : createTokenBucket(ratePerSecond, nowMs);
        }
        this.runQueued();
    }

    readStats(): SlotStats {
        const { inFlight, meanServiceMs, directShare, ratePerSecond } = this;
        const limit = ratePerSecond === undefined
            ? this.limit
            : Math.min(this.limit, Math.max(1, Math.floor(ratePerSecond * meanServiceMs / msPerSecond)));
        return { inFlight, queued: this.queue.length, limit, meanServiceMs, directShare };
    }

    /**
     * Computes how congested the upstream is for another request with the same due delay, 0 to 1. Only the queued
     * requests that would run before it count, so less important requests add little congestion for important ones.
     */
    computeCongestion(request: DueDelayInput): number {
        const index = this.findQueueIndex(this.readNowMs() + computeDueDelay(request, this.directShare));
        return computeCongestion(this.computeWait(index), request.targetLatencyMs);
    }

    /** Runs, queues or refuses a request; returns a function that removes it from the queue. */
    schedule(request: SlotRequest): () => void {
        if (this.queue.length === 0 && this.occupiedSlots < this.limit && this.tryTakeToken()) {
            this.start(request);
            return () => undefined;
        }
        const nowMs = this.readNowMs();
        const dueAtMs = nowMs + computeDueDelay(request, this.directShare);
        const index = this.findQueueIndex(dueAtMs);
        const maxWaitMs = Math.min(this.computeMaxWait(request, nowMs), this.computeMaxTokenWait(request));
        if (this.computeWait(index) > maxWaitMs) {
            request.refuse("full");
            return () => undefined;
        }
        const entry: QueueEntry = { request, dueAtMs, timeout: undefined };
        this.queue.splice(index, 0, entry);
        this.awaitToken();
        entry.timeout = this.wheel.add(Math.max(0, maxWaitMs), () => {
            if (this.remove(entry)) {
                request.refuse("expired");
            }
        });
        return () => {
            this.wheel.remove(entry.timeout);
            this.remove(entry);
        };
    }

    /** Releases a slot; an answered request updates the mean service times and the direct share. */
    release(grant: SlotGrant, { route, nested }: SlotRequest, isAnswered: boolean): void {
        const serviceMs = this.readNowMs() - grant.startedAtMs;
        this.wheel.remove(grant.timeout);
        this.inFlight -= 1;
        this.overdueCount -= grant.isOverdue ? 1 : 0;
        if (isAnswered) {
            const weight = Math.min(1, directShareWeight * serviceMs / (this.meanServiceMs || serviceMs || 1));
            this.directShare += weight * ((nested ? 0 : 1) - this.directShare);
            this.meanServiceMs = updateMean(this.meanServiceMs || undefined, serviceMs);
            this.meanServiceMsByRoute.set(route, updateMean(this.meanServiceMsByRoute.get(route), serviceMs));
        }
        this.runQueued();
    }

    private computeWait(queuedAhead: number): number {
        const { occupiedSlots: inFlight, limit, tokens } = this;
        const slotWaitMs = computeSlotWait({
            inFlight,
            queuedAhead,
            limit,
            meanServiceMs: this.meanServiceMs || initialServiceMs,
        });
        return tokens
            ? Math.max(slotWaitMs, computeTokenWaitMs(tokens, queuedAhead + 1, this.readNowMs()))
            : slotWaitMs;
    }

    private computeMaxWait(request: SlotRequest, nowMs: number): number {
        return computeMaxSlotWait({
            nested: request.nested,
            remainingMs: request.deadlineAtMs - nowMs,
            targetLatencyMs: request.targetLatencyMs,
            meanServiceMs: this.meanServiceMsByRoute.get(request.route) ?? 0,
        });
    }

    /** Computes how long a request may wait for the rate limit; other upstreams of the service may have none. */
    private computeMaxTokenWait({ targetLatencyMs }: SlotRequest): number {
        return this.tokens ? maxTokenWaitShare * targetLatencyMs : Infinity;
    }

    private findQueueIndex(dueAtMs: number): number {
        let index = this.queue.length;
        while (index > 0 && this.queue[index - 1]!.dueAtMs > dueAtMs) {
            index -= 1;
        }
        return index;
    }

    private remove(entry: QueueEntry): boolean {
        const index = this.queue.indexOf(entry);
        if (index >= 0) {
            this.queue.splice(index, 1);
        }
        return index >= 0;
    }

    private runQueued(): void {
        while (this.queue.length > 0 && this.occupiedSlots < this.limit && this.tryTakeToken()) {
            const { request, timeout } = this.queue.shift()!;
            this.wheel.remove(timeout);
            this.start(request);
        }
        this.awaitToken();
    }

    /** Takes a token for a request that starts now; without a rate limit there is always one. */
    private tryTakeToken(): boolean {
        if (!this.tokens) {
            return true;
        }
        const next = takeToken(this.tokens, this.readNowMs());
        this.tokens = next ?? this.tokens;
        return next !== undefined;
    }

    /** Runs queued requests when the next token is there, unless they wait for a slot. */
    private awaitToken(): void {
        if (!this.tokens || this.queue.length === 0 || this.tokenTimeout || this.occupiedSlots >= this.limit) {
            return;
        }
        this.tokenTimeout = this.wheel.add(computeTokenWaitMs(this.tokens, 1, this.readNowMs()), () => {
            this.tokenTimeout = undefined;
            this.runQueued();
        });
    }

    /**
     * Grants a slot. A request whose answer is lost would hold its slot until the deadline although the upstream has
     * completed it. Overdue requests therefore do not count against the limit, up to `maxOverdueShare` of it.
     */
    private start(request: SlotRequest): void {
        this.inFlight += 1;
        const grant: SlotGrant = { startedAtMs: this.readNowMs(), isOverdue: false, timeout: undefined };
        const meanServiceMs = this.meanServiceMsByRoute.get(request.route) ?? initialServiceMs;
        grant.timeout = this.wheel.add(Math.max(minOverdueMs, overdueFactor * meanServiceMs), () => {
            grant.isOverdue = true;
            this.overdueCount += 1;
            this.runQueued();
        });
        request.run(grant);
    }

    /** Number of requests that count against the limit. */
    private get occupiedSlots(): number {
        return this.inFlight - Math.min(this.overdueCount, this.limit * maxOverdueShare);
    }
}

const updateMean = (mean: number | undefined, serviceMs: number): number =>
    mean === undefined ? serviceMs : mean + meanServiceWeight * (serviceMs - mean);
