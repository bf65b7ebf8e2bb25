/** The slots of the local upstream and the queue in front of them. */
import { computeCongestion } from "../../decisions/computeCongestion";
import { computeDueDelay, type DueDelayInput } from "../../decisions/computeDueDelay";
import { computeMaxSlotWait, computeSlotWait } from "../../decisions/computeSlotWait";
import { type Timeout, type TimerWheel } from "../../tasks/_lib/timerWheel";

/** A request that asks for a slot. */
export interface SlotApplicant {
    readonly route: string;
    readonly nested: boolean;
    readonly rank: number;
    readonly targetLatencyMs: number;
    readonly deadlineAtMs: number;
    /** Called when the request holds a slot, which it has to give back with the grant. */
    run(grant: SlotGrant): void;
    refuse(reason: "full" | "expired"): void;
}

/** A slot that a request holds. */
export interface SlotGrant {
    readonly startedAtMs: number;
    /** Whether the answer is so late that it has probably been lost. */
    isOverdue: boolean;
    timeout: Timeout | undefined;
}

interface Waiting {
    readonly applicant: SlotApplicant;
    readonly dueMs: number;
    timeout: Timeout | undefined;
}

/** Figures of the queue. */
export interface SlotFigures {
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    readonly meanServiceMs: number;
    /** Share of the slot time that requests of callers take, 0 to 1. */
    readonly directShare: number;
}

/** Share of the declared slots in use; upstreams slow down when they are nearly full. */
const usedSlotShare = 0.95;
/** Slots before the upstream's own record has been read. */
const initialSlots = 8;
/** Weight of one reading in the moving means. */
const meanWeight = 0.05;
/** A request counts as overdue after this many times the usual time, but not before the other, in milliseconds. */
const overdueMeans = 8;
const smallestOverdueMs = 300;
/** Share of the slots that overdue requests may leave to others. */
const maxOverdueShare = 0.8;
/** Weight of a request of mean length in the share of slot time. */
const shareWeight = 0.02;
/** Mean time of a request before the first reading, in milliseconds. */
const initialMeanMs = 50;

/** Grants slots in the order in which requests are due, and refuses at once what would wait too long. */
export class SlotQueue {
    private readonly waiting: Waiting[] = [];
    private readonly meanMsByRoute = new Map<string, number>();
    private limit = initialSlots;
    private inFlight = 0;
    private overdue = 0;
    private meanServiceMs = 0;
    /** Share of the slot time that requests of callers take. */
    private directShare = 1;

    constructor(private readonly wheel: TimerWheel, private readonly readNowMs: () => number) {}

    /** Takes the number of slots that the upstream declares. */
    updateSlots(slots: number): void {
        this.limit = Math.max(1, Math.floor(slots * usedSlotShare));
        this.runWaiting();
    }

    readFigures(): SlotFigures {
        const { inFlight, limit, meanServiceMs, directShare } = this;
        return { inFlight, queued: this.waiting.length, limit, meanServiceMs, directShare };
    }

    /**
     * Computes how congested the upstream is for one more such request, 0 to 1: by the place that it would get, so that
     * important requests see less of the congestion that others make.
     */
    computeCongestion(order: DueDelayInput): number {
        const index = this.findPlace(this.readNowMs() + computeDueDelay(order, this.directShare));
        return computeCongestion(this.computeWait(index), order.targetLatencyMs);
    }

    /** Asks for a slot; the applicant is called back now or later. Returns what withdraws it. */
    apply(applicant: SlotApplicant): () => void {
        if (this.occupied < this.limit && this.waiting.length === 0) {
            this.start(applicant);
            return () => undefined;
        }
        const nowMs = this.readNowMs();
        const dueMs = nowMs + computeDueDelay(applicant, this.directShare);
        const index = this.findPlace(dueMs);
        const maxWaitMs = this.computeMaxWait(applicant, nowMs);
        if (this.computeWait(index) > maxWaitMs) {
            applicant.refuse("full");
            return () => undefined;
        }
        const waiting: Waiting = { applicant, dueMs, timeout: undefined };
        this.waiting.splice(index, 0, waiting);
        waiting.timeout = this.wheel.add(Math.max(0, maxWaitMs), () => {
            if (this.remove(waiting)) {
                applicant.refuse("expired");
            }
        });
        return () => {
            this.wheel.remove(waiting.timeout);
            this.remove(waiting);
        };
    }

    /** Gives a slot back; a request that came to an answer tells how long its kind takes. */
    release(grant: SlotGrant, { route, nested }: SlotApplicant, answered: boolean): void {
        const heldMs = this.readNowMs() - grant.startedAtMs;
        this.wheel.remove(grant.timeout);
        this.inFlight -= 1;
        this.overdue -= grant.isOverdue ? 1 : 0;
        if (answered) {
            const weight = Math.min(1, shareWeight * heldMs / (this.meanServiceMs || heldMs || 1));
            this.directShare += weight * ((nested ? 0 : 1) - this.directShare);
            this.meanServiceMs = updateMean(this.meanServiceMs || undefined, heldMs);
            this.meanMsByRoute.set(route, updateMean(this.meanMsByRoute.get(route), heldMs));
        }
        this.runWaiting();
    }

    private computeWait(ahead: number): number {
        const { occupied: inFlight, limit } = this;
        return computeSlotWait({
            inFlight,
            queuedAhead: ahead,
            limit,
            meanServiceMs: this.meanServiceMs || initialMeanMs,
        });
    }

    private computeMaxWait(applicant: SlotApplicant, nowMs: number): number {
        return computeMaxSlotWait({
            nested: applicant.nested,
            remainingMs: applicant.deadlineAtMs - nowMs,
            targetLatencyMs: applicant.targetLatencyMs,
            meanServiceMs: this.meanMsByRoute.get(applicant.route) ?? 0,
        });
    }

    private findPlace(dueMs: number): number {
        let index = this.waiting.length;
        while (index > 0 && this.waiting[index - 1]!.dueMs > dueMs) {
            index -= 1;
        }
        return index;
    }

    private remove(waiting: Waiting): boolean {
        const index = this.waiting.indexOf(waiting);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
        return index >= 0;
    }

    private runWaiting(): void {
        while (this.occupied < this.limit && this.waiting.length > 0) {
            const { applicant, timeout } = this.waiting.shift()!;
            this.wheel.remove(timeout);
            this.start(applicant);
        }
    }

    /**
     * An answer that is lost would hold its slot until the deadline, although the upstream has long been done with it. So
     * requests that are far later than usual count no more, up to a share of the slots.
     */
    private start(applicant: SlotApplicant): void {
        this.inFlight += 1;
        const grant: SlotGrant = { startedAtMs: this.readNowMs(), isOverdue: false, timeout: undefined };
        const usualMs = this.meanMsByRoute.get(applicant.route) ?? initialMeanMs;
        grant.timeout = this.wheel.add(Math.max(smallestOverdueMs, overdueMeans * usualMs), () => {
            grant.isOverdue = true;
            this.overdue += 1;
            this.runWaiting();
        });
        applicant.run(grant);
    }

    /** Requests that count against the limit. */
    private get occupied(): number {
        return this.inFlight - Math.min(this.overdue, this.limit * maxOverdueShare);
    }
}

const updateMean = (mean: number | undefined, reading: number): number =>
    mean === undefined ? reading : mean + meanWeight * (reading - mean);
