/** Admission in front of the local upstream: concurrency limit, queue by importance, refusals. */
import { limitWindowMs } from "../../constants";
import { computeMaxQueueWait } from "../../decisions/computeMaxQueueWait";
import {
    type AdmissionDecision,
    decideAdmission,
    hasFreeSlot,
    type SlotOccupancy,
} from "../../decisions/decideAdmission";
import { type LimitAlgorithm, type LimitState } from "../../decisions/limitAlgorithms";
import { type ServicePolicy } from "../../policy/types";
import { type Importance } from "../../types";
import { type Timeout, type TimerWheel } from "../_lib/timerWheel";

/** Why a request was refused a slot. */
export type RefusalReason = "overloaded" | "displaced" | "queue-timeout";

/** Told when a request gets its slot or is refused it. */
export interface SlotApplicant {
    readonly importance: Importance;
    /** Milliseconds until the request's deadline. */
    computeRemainingMs(): number;
    run(): void;
    refuse(reason: RefusalReason): void;
}

/** How a request that held a slot ended, as far as the limit is concerned. */
export type SlotResult = "completed" | "refused" | "cancelled";

interface Waiting {
    readonly applicant: SlotApplicant;
    readonly timeout: Timeout;
}

/** Figures for metrics and status. */
export interface AdmissionFigures {
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
}

const fullestRoomyLoad = 0.99;
const importancesFromHighest: readonly Importance[] = ["critical", "normal", "low"];

/** Owns the slots of the local upstream and the queue in front of them. */
export class Admission {
    private readonly queues: Readonly<Record<Importance, Waiting[]>> = { critical: [], normal: [], low: [] };
    private policy: ServicePolicy | undefined;
    private limitState: LimitState = { limit: 1, baselineMs: undefined };
    private inFlight = 0;
    private lesserInFlight = 0;
    private peakInFlight = 0;
    private completedInWindow = 0;
    private refusedInWindow = 0;
    private durationsInWindowMs = 0;
    private windowStartMs = 0;

    constructor(
        private readonly wheel: TimerWheel,
        private readonly readNowMs: () => number,
        private readonly law: LimitAlgorithm,
    ) {}

    /** Takes over the policy of the service; the first one starts the limit as after a cold start. */
    updatePolicy(policy: ServicePolicy): void {
        if (!this.policy) {
            this.limitState = this.law.start(policy);
        }
        this.policy = policy;
    }

    /** Share of the limit that is in use, 0 to 1; 1 means that a request which is not critical would have to wait. */
    computeLoad(): number {
        const isRoomy = this.countQueued() === 0 && hasFreeSlot("normal", this.readOccupation());
        return isRoomy ? Math.min(fullestRoomyLoad, this.inFlight / this.limitState.limit) : 1;
    }

    readFigures(): AdmissionFigures {
        return { inFlight: this.inFlight, limit: this.limitState.limit, queued: this.countQueued() };
    }

    /** Whether a request would be refused at once; tells so before its body is read. */
    isFull(importance: Importance): boolean {
        return this.decide(importance) === "refuse";
    }

    /** Asks for a slot; the applicant is called back now or later. Returns what withdraws it from the queue. */
    apply(applicant: SlotApplicant): () => void {
        const decision = this.decide(applicant.importance);
        if (decision === "run") {
            this.startRun(applicant);
            return () => undefined;
        }
        if (decision === "refuse") {
            applicant.refuse("overloaded");
            return () => undefined;
        }
        if (decision === "displace") {
            this.removeLeast(applicant.importance);
        }
        return this.addWaiting(applicant);
    }

    /** Gives back the slot of a request of an importance, which it held for a number of milliseconds. */
    release(importance: Importance, result: SlotResult, durationMs: number): void {
        this.inFlight -= 1;
        this.lesserInFlight -= importance === "critical" ? 0 : 1;
        this.completedInWindow += result === "completed" ? 1 : 0;
        this.durationsInWindowMs += result === "completed" ? durationMs : 0;
        this.refusedInWindow += result === "refused" ? 1 : 0;
        this.updateWindow();
        this.runWaiting();
    }

    private decide(importance: Importance): AdmissionDecision {
        const policy = this.policy!;
        const { critical, normal, low } = this.queues;
        const hasLow = low.length > 0;
        const hasNormal = normal.length > 0;
        const hasCritical = critical.length > 0;
        return decideAdmission(importance, {
            ...this.readOccupation(),
            queued: this.countQueued(),
            maxQueued: policy.queue.maxLength,
            hasLessImportantQueued: importance === "critical" ? hasNormal || hasLow : importance === "normal" && hasLow,
            hasAsImportantQueued: hasCritical
                || importance !== "critical" && (hasNormal || importance === "low" && hasLow),
        });
    }

    private readOccupation(): SlotOccupancy {
        const { inFlight, lesserInFlight } = this;
        return {
            inFlight,
            nonCriticalInFlight: lesserInFlight,
            limit: this.limitState.limit,
            reservedShare: this.policy?.reservedShare ?? 0,
        };
    }

    private countQueued(): number {
        return this.queues.critical.length + this.queues.normal.length + this.queues.low.length;
    }

    private startRun(applicant: SlotApplicant): void {
        this.inFlight += 1;
        this.lesserInFlight += applicant.importance === "critical" ? 0 : 1;
        this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
        applicant.run();
    }

    private addWaiting(applicant: SlotApplicant): () => void {
        const queue = this.queues[applicant.importance];
        const remove = (): boolean => {
            const index = queue.indexOf(waiting);
            if (index >= 0) {
                queue.splice(index, 1);
            }
            return index >= 0;
        };
        const { importance } = applicant;
        const waitMs = computeMaxQueueWait(importance, this.policy!.queue.maxWaitMs, applicant.computeRemainingMs());
        const timeout = this.wheel.add(waitMs, () => {
            if (remove()) {
                applicant.refuse("queue-timeout");
            }
        });
        const waiting: Waiting = { applicant, timeout };
        queue.push(waiting);
        return () => {
            this.wheel.remove(timeout);
            remove();
        };
    }

    /** Refuses the newest waiting request of the least importance below the given one. */
    private removeLeast(importance: Importance): void {
        const rank = importancesFromHighest.indexOf(importance);
        const lesser = importancesFromHighest.slice(rank + 1).reverse().find(name => this.queues[name].length > 0);
        const displaced = lesser && this.queues[lesser].pop();
        if (displaced) {
            this.wheel.remove(displaced.timeout);
            displaced.applicant.refuse("displaced");
        }
    }

    private runWaiting(): void {
        for (let next = this.takeNext(); next; next = this.takeNext()) {
            this.wheel.remove(next.timeout);
            this.startRun(next.applicant);
        }
    }

    private takeNext(): Waiting | undefined {
        const importance = importancesFromHighest.find(name => this.queues[name].length > 0);
        if (!importance) {
            return undefined;
        }
        return hasFreeSlot(importance, this.readOccupation()) ? this.queues[importance].shift() : undefined;
    }

    private updateWindow(): void {
        const nowMs = this.readNowMs();
        if (nowMs - this.windowStartMs < limitWindowMs) {
            return;
        }
        this.limitState = this.law.update(
            this.limitState,
            {
                refused: this.refusedInWindow,
                completed: this.completedInWindow,
                peakInFlight: this.peakInFlight,
                meanServiceMs: this.durationsInWindowMs / Math.max(1, this.completedInWindow),
            },
            this.policy!,
        );
        this.windowStartMs = nowMs;
        this.completedInWindow = 0;
        this.durationsInWindowMs = 0;
        this.refusedInWindow = 0;
        this.peakInFlight = this.inFlight;
    }
}
