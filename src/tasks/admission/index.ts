/** Admission control for the local upstream: concurrency limit, queues by importance, and refusals. */
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

/** Why a request got no slot: the queue was full, a more important request took its place, or it waited too long. */
export type RefusalReason = "overloaded" | "displaced" | "queue-timeout";

/** Request for a slot; either `run` or `refuse` is called once, unless the request is withdrawn first. */
export interface SlotRequest {
    readonly importance: Importance;
    /** Computes the time until the request's deadline, in milliseconds. */
    computeRemainingMs(): number;
    /** Called when the request gets a slot, which `Admission.release` has to release later. */
    run(): void;
    refuse(reason: RefusalReason): void;
}

/**
 * Result of a request that held a slot, for the concurrency limit. "refused": the upstream refused it or gave no
 * complete answer, which lowers the limit; "cancelled" has no effect.
 */
export type SlotResult = "completed" | "refused" | "cancelled";

interface QueuedRequest {
    readonly request: SlotRequest;
    readonly timeout: Timeout;
}

/** Use of the slots and the queues; `limit` may be fractional. */
export interface AdmissionStats {
    readonly inFlight: number;
    readonly limit: number;
    readonly queued: number;
}

/** Upper bound of the load while a normal request would still get a slot, so that only a load of 1 means a wait. */
const maxUncongestedLoad = 0.99;
const descendingImportances: readonly Importance[] = ["critical", "normal", "low"];

/** Grants the slots of the local upstream, and queues the requests that wait for one. */
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
        private readonly readMonotonicMs: () => number,
        private readonly limitAlgorithm: LimitAlgorithm,
    ) {}

    /** Applies a new policy of the service; the first one also sets the initial concurrency limit. */
    updatePolicy(policy: ServicePolicy): void {
        if (!this.policy) {
            this.limitState = this.limitAlgorithm.start(policy);
        }
        this.policy = policy;
    }

    /**
     * Computes the load that is reported to other nodes: the share of the limit that is in use, 0 to 1.
     * It is 1 whenever a request is queued or no slot is free for a normal request, even if reserved slots are free.
     */
    computeLoad(): number {
        const hasCapacity = this.countQueued() === 0 && hasFreeSlot("normal", this.readOccupancy());
        return hasCapacity ? Math.min(maxUncongestedLoad, this.inFlight / this.limitState.limit) : 1;
    }

    readStats(): AdmissionStats {
        return { inFlight: this.inFlight, limit: this.limitState.limit, queued: this.countQueued() };
    }

    /** Whether a request would be refused at once; lets a node refuse it before reading its body. */
    isFull(importance: Importance): boolean {
        return this.decide(importance) === "refuse";
    }

    /**
     * Runs a request at once, queues it, or refuses it if the queues are full and hold no less important request.
     * Returns a function that withdraws the request if it is still queued.
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

    /** Releases a slot that was held for `serviceMs` milliseconds, and starts queued requests if slots are free. */
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

    /** Refuses the newest of the least important queued requests, if those are less important than the given one. */
    private removeLeastImportant(importance: Importance): void {
        const rank = descendingImportances.indexOf(importance);
        const displacedImportance = descendingImportances.slice(rank + 1).reverse().find(name =>
            this.queues[name].length > 0
        );
        const displaced = displacedImportance && this.queues[displacedImportance].pop();
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

    /** Updates the concurrency limit once the current window has elapsed, and starts a new one. */
    private updateWindow(): void {
        const nowMs = this.readMonotonicMs();
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
