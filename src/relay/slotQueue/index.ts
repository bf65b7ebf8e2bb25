/** The slots of the local upstream and the queue in front of them. */
import { computeCongestion } from "../../decisions/computeCongestion";
import { computeMaxWait, computeSlotWait } from "../../decisions/computeSlotWait";
import { type Timeout, type TimerWheel } from "../../tasks/_lib/timerWheel";

/** A request that asks for a slot. */
export interface SlotApplicant {
    readonly route: string;
    readonly nested: boolean;
    readonly targetLatencyMs: number;
    readonly deadlineAtMs: number;
    /** Called when the request holds a slot, which it has to release. */
    run(): void;
    refuse(reason: "full" | "expired"): void;
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
    readonly meanMs: number;
}

/** Share of the declared slots in use; upstreams slow down when they are nearly full. */
const usedSlotShare = 0.95;
/** Slots before the upstream's own record has been read. */
const initialSlots = 8;
/** Weight of one reading in the moving means. */
const meanWeight = 0.05;
/** Mean time of a request before the first reading, in milliseconds. */
const initialMeanMs = 50;
/** Weight of a nested request's target in the order of the queue: work under way goes before new work. */
const nestedDueShare = 0.5;

/** Grants slots in the order in which requests are due, and refuses at once what would wait too long. */
export class SlotQueue {
    private readonly waiting: Waiting[] = [];
    private readonly meanMsByRoute = new Map<string, number>();
    private limit = initialSlots;
    private inFlight = 0;
    private meanMs = 0;

    constructor(private readonly wheel: TimerWheel, private readonly readNowMs: () => number) {}

    /** Takes the number of slots that the upstream declares. */
    updateSlots(slots: number): void {
        this.limit = Math.max(1, Math.floor(slots * usedSlotShare));
        this.runWaiting();
    }

    readFigures(): SlotFigures {
        return { inFlight: this.inFlight, queued: this.waiting.length, limit: this.limit, meanMs: this.meanMs };
    }

    /** Computes how congested the upstream is for one more request, 0 to 1. */
    computeCongestion(targetLatencyMs: number): number {
        return computeCongestion(this.computeWait(this.waiting.length), targetLatencyMs);
    }

    /** Asks for a slot; the applicant is called back now or later. Returns what withdraws it. */
    apply(applicant: SlotApplicant): () => void {
        if (this.inFlight < this.limit && this.waiting.length === 0) {
            this.start(applicant);
            return () => undefined;
        }
        const nowMs = this.readNowMs();
        const dueMs = nowMs + applicant.targetLatencyMs * (applicant.nested ? nestedDueShare : 1);
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
    release(route: string, heldMs: number, answered: boolean): void {
        this.inFlight -= 1;
        if (answered) {
            this.meanMs = updateMean(this.meanMs || undefined, heldMs);
            this.meanMsByRoute.set(route, updateMean(this.meanMsByRoute.get(route), heldMs));
        }
        this.runWaiting();
    }

    private computeWait(ahead: number): number {
        const { inFlight, limit } = this;
        return computeSlotWait({ inFlight, ahead, limit, meanMs: this.meanMs || initialMeanMs });
    }

    private computeMaxWait(applicant: SlotApplicant, nowMs: number): number {
        return computeMaxWait({
            nested: applicant.nested,
            remainingMs: applicant.deadlineAtMs - nowMs,
            targetLatencyMs: applicant.targetLatencyMs,
            workMs: this.meanMsByRoute.get(applicant.route) ?? 0,
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
        while (this.inFlight < this.limit && this.waiting.length > 0) {
            const { applicant, timeout } = this.waiting.shift()!;
            this.wheel.remove(timeout);
            this.start(applicant);
        }
    }

    private start(applicant: SlotApplicant): void {
        this.inFlight += 1;
        applicant.run();
    }
}

const updateMean = (mean: number | undefined, reading: number): number =>
    mean === undefined ? reading : mean + meanWeight * (reading - mean);
