/** Admission control for the local upstream: concurrency limit, queues by importance, refusals. */
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

/** Reason for which a request was refused a slot. */
export type RefusalReason = "overloaded" | "displaced" | "queue-timeout";

/** Request for a slot; `run` or `refuse` is called once, unless the request is withdrawn first. */
export interface SlotRequest {
    readonly importance: Importance;
    /** Milliseconds until the request's deadline. */
    computeRemainingMs(): number;
    run(): void;
    refuse(reason: RefusalReason): void;
}

/** Result of a request that held a slot, as the concurrency limit takes it into account. */
export type SlotResult = "completed" | "refused" | "cancelled";

interface QueuedRequest {
    readonly request: SlotRequest;
    readonly timeout: Timeout;
}

/** Current use of the slots, for metrics and status. */
export interface AdmissionStats {
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
}

/** Highest load that is reported while a normal request still finds a free slot, as a share of the limit. */
const maxUncongestedLoad = 0.99;
const descendingImportances: readonly Importance[] = ["critical", "normal", "low"];

/** Owns the slots of the local upstream and the queues of requests that wait for one. */
export class Admission {
    private readonly queues: Readonly<Record<Importance, QueuedRequest[]>> = { critical: [], normal: [], low: [] };
    private policy: ServicePolicy | undefined;
    private limitState: LimitState = { limit: 1, baselineMs: undefined };
    private inFlight = 0;
    private nonCriticalInFlight = 0;
    private peakInFlight = 0;
    private completedInWindow = 0;
    private refusedInWindow = 0;
    private serviceTimeInWindowMs = 0;
    private windowStartMs = 0;

    constructor(
        private readonly wheel: TimerWheel,
        private readonly readNowMs: () => number,
        private readonly limitAlgorithm: LimitAlgorithm,
    ) {}

    /** Applies the policy of the service; the first one sets the limit to that of an upstream that has just started. */
    updatePolicy(policy: ServicePolicy): void {
        if (!this.policy) {
            this.limitState = this.limitAlgorithm.start(policy);
        }
        this.policy = policy;
    }

    /** Computes the share of the limit that is in use, 0 to 1; at 1, a request that is not critical has to wait. */
    computeLoad(): number {
        const hasCapacity = this.countQueued() === 0 && hasFreeSlot("normal", this.readOccupancy());
        return hasCapacity ? Math.min(maxUncongestedLoad, this.inFlight / this.limitState.limit) : 1;
    }

    readStats(): AdmissionStats {
        return { inFlight: this.inFlight, limit: this.limitState.limit, queued: this.countQueued() };
    }

    /** Whether a request would be refused at once; checked before its body is read. */
    isFull(importance: Importance): boolean {
        return this.decide(importance) === "refuse";
    }

    /**
     * Runs a request at once, queues it or refuses it, depending on the free slots and the free places in the queue.
     * Returns a function that withdraws the request from its queue.
     */
    schedule(request: SlotRequest): () => void {
        const decision = this.decide(request.importance);
        if (decision === "run") {
            this.start(request);
            return () => undefined;
        }
        if (decision === "refuse") {
            request.refuse("overloaded");
            return () => undefined;
        }
        if (decision === "displace") {
            this.removeLeastImportant(request.importance);
        }
        return this.enqueue(request);
    }

    /** Releases the slot that a request held for `serviceMs` milliseconds, and starts queued requests. */
    release(importance: Importance, result: SlotResult, serviceMs: number): void {
        this.inFlight -= 1;
        this.nonCriticalInFlight -= importance === "critical" ? 0 : 1;
        this.completedInWindow += result === "completed" ? 1 : 0;
        this.serviceTimeInWindowMs += result === "completed" ? serviceMs : 0;
        this.refusedInWindow += result === "refused" ? 1 : 0;
        this.updateWindow();
        this.startQueued();
    }

    private decide(importance: Importance): AdmissionDecision {
        const policy = this.policy!;
        const { critical, normal, low } = this.queues;
        const hasLow = low.length > 0;
        const hasNormal = normal.length > 0;
        const hasCritical = critical.length > 0;
        return decideAdmission(importance, {
            ...this.readOccupancy(),
            queued: this.countQueued(),
            maxQueued: policy.queue.maxLength,
            hasLessImportantQueued: importance === "critical" ? hasNormal || hasLow : importance === "normal" && hasLow,
            hasPrecedingQueued: hasCritical
                || importance !== "critical" && (hasNormal || importance === "low" && hasLow),
        });
    }

    private readOccupancy(): SlotOccupancy {
        const { inFlight, nonCriticalInFlight } = this;
        return {
            inFlight,
            nonCriticalInFlight,
            limit: this.limitState.limit,
            reservedShare: this.policy?.reservedShare ?? 0,
        };
    }

    private countQueued(): number {
        return this.queues.critical.length + this.queues.normal.length + this.queues.low.length;
    }

    private start(request: SlotRequest): void {
        this.inFlight += 1;
        this.nonCriticalInFlight += request.importance === "critical" ? 0 : 1;
        this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
        request.run();
    }

    private enqueue(request: SlotRequest): () => void {
        const queue = this.queues[request.importance];
        const remove = (): boolean => {
            const index = queue.indexOf(queued);
            if (index >= 0) {
                queue.splice(index, 1);
            }
            return index >= 0;
        };
        const { importance } = request;
        const maxWaitMs = computeMaxQueueWait(importance, this.policy!.queue.maxWaitMs, request.computeRemainingMs());
        const timeout = this.wheel.add(maxWaitMs, () => {
            if (remove()) {
                request.refuse("queue-timeout");
            }
        });
        const queued: QueuedRequest = { request, timeout };
        queue.push(queued);
        return () => {
            this.wheel.remove(timeout);
            remove();
        };
    }

    /** Refuses the newest queued request of the lowest importance, if that is lower than the given one. */
    private removeLeastImportant(importance: Importance): void {
        const rank = descendingImportances.indexOf(importance);
        const lowest = descendingImportances.slice(rank + 1).reverse().find(name => this.queues[name].length > 0);
        const displaced = lowest && this.queues[lowest].pop();
        if (displaced) {
            this.wheel.remove(displaced.timeout);
            displaced.request.refuse("displaced");
        }
    }

    private startQueued(): void {
        for (let next = this.takeNextQueued(); next; next = this.takeNextQueued()) {
            this.wheel.remove(next.timeout);
            this.start(next.request);
        }
    }

    private takeNextQueued(): QueuedRequest | undefined {
        const importance = descendingImportances.find(name => this.queues[name].length > 0);
        if (!importance) {
            return undefined;
        }
        return hasFreeSlot(importance, this.readOccupancy()) ? this.queues[importance].shift() : undefined;
    }

    private updateWindow(): void {
        const nowMs = this.readNowMs();
        if (nowMs - this.windowStartMs < limitWindowMs) {
            return;
        }
        this.limitState = this.limitAlgorithm.update(
            this.limitState,
            {
                refused: this.refusedInWindow,
                completed: this.completedInWindow,
                peakInFlight: this.peakInFlight,
                meanServiceMs: this.serviceTimeInWindowMs / Math.max(1, this.completedInWindow),
            },
            this.policy!,
        );
        this.windowStartMs = nowMs;
        this.completedInWindow = 0;
        this.serviceTimeInWindowMs = 0;
        this.refusedInWindow = 0;
        this.peakInFlight = this.inFlight;
    }
}
