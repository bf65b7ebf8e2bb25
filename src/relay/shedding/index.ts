/** Decides which direct requests to admit, from the congestion that the answers to earlier requests reported. */
import { LRUCache } from "lru-cache";
import { updateAdmissionByCongestion } from "../../decisions/updateAdmissionByCongestion";

/** Interval at which an admission probability is updated while answers arrive, in milliseconds. */
const updateWindowMs = 100;
/**
 * Interval at which an admission probability grows while no answers arrive, in milliseconds. The congestion is unknown
 * then.
 */
const idleWindowMs = 1_000;
/** Maximum number of windows that one update covers; if answers reported congestion, also at most one per answer. */
const maxWindowsPerUpdate = 10;
/** Weight of one report in the mean congestion of the nested requests of a route. */
const congestionWeight = 0.1;
/** Age at which the congestion of nested requests begins to decay, and time constant of the decay, in milliseconds. */
const decayMs = 500;
/** Congestion below which the nested requests of a route count as uncongested. */
const uncongestedBelow = 0.1;
/** Number of requests of returning callers that may be admitted ahead of new ones. */
const returningCredit = 4;
/** Maximum number of shed requests that are remembered. */
const maxShedRequests = 10_000;
/** Time for which a shed request is remembered, in milliseconds; callers return within their deadline. */
const shedRequestTtlMs = 5_000;

interface RouteAdmission {
    /** Probability with which a direct request is admitted, 0 to 1. */
    probability: number;
    /** Accrued fraction of a request to admit, at most 1; below zero after returning requests were admitted early. */
    credit: number;
    /** Number of answers in the current window. */
    answers: number;
    /** Sum of the congestion that these answers reported. */
    congestionSum: number;
    windowStartMs: number;
}

interface NestedCongestion {
    congestion: number;
    updatedAtMs: number;
}

/** Holds the admission probability of each route and remembers the requests that were shed. */
export class Shedding {
    private readonly admissions = new Map<string, RouteAdmission>();
    private readonly nestedCongestions = new Map<string, NestedCongestion>();
    private readonly shedRequests: LRUCache<string, true>;

    constructor(private readonly readNowMs: () => number) {
        this.shedRequests = new LRUCache({ max: maxShedRequests, ttl: shedRequestTtlMs, perf: { now: readNowMs } });
    }

    /** Decides whether to admit a direct request. A request that was shed before takes precedence over new ones. */
    tryAdmit(route: string, rank: number, identity: string): boolean {
        const admission = this.updateAdmission(route, rank);
        if (admission.probability >= 1 && admission.credit >= 1) {
            return true;
        }
        const isReturning = this.shedRequests.delete(identity);
        admission.credit = Math.min(1, admission.credit + admission.probability);
        if (admission.credit < (isReturning ? 1 - returningCredit : 1)) {
            this.shedRequests.set(identity, true);
            return false;
        }
        admission.credit -= 1;
        return true;
    }

    /** Returns the admission probability of a route's direct requests, 0 to 1. */
    readAdmissionProbability(route: string): number {
        return this.admissions.get(route)?.probability ?? 1;
    }

    /** Records the congestion that the answer to a direct request reported, 0 to 1. */
    recordAnswer(route: string, rank: number, congestion: number): void {
        const admission = this.updateAdmission(route, rank);
        admission.answers += 1;
        admission.congestionSum += congestion;
    }

    /** Records the congestion that the answer to a nested request of the local upstream reported, 0 to 1. */
    recordNestedAnswer(route: string, congestion: number): void {
        const nestedCongestion = this.nestedCongestions.get(route) ?? { congestion: 0, updatedAtMs: 0 };
        const decayed = this.computeDecayed(nestedCongestion);
        nestedCongestion.congestion = decayed + congestionWeight * (congestion - decayed);
        nestedCongestion.updatedAtMs = this.readNowMs();
        this.nestedCongestions.set(route, nestedCongestion);
    }

    /** Whether no service on the path of a route is congested, so that a hedged request does no harm. */
    isUncongested(route: string, nested: boolean): boolean {
        const nestedCongestion = nested ? this.nestedCongestions.get(route) : undefined;
        return nestedCongestion
            ? this.computeDecayed(nestedCongestion) < uncongestedBelow
            : this.readAdmissionProbability(route) >= 1;
    }

    private computeDecayed(nestedCongestion: NestedCongestion): number {
        const ageMs = this.readNowMs() - nestedCongestion.updatedAtMs;
        return ageMs > decayMs
            ? nestedCongestion.congestion * Math.exp(1 - ageMs / decayMs)
            : nestedCongestion.congestion;
    }

    /** Returns the admission state of a route, after updating its probability if the window is over. */
    private updateAdmission(route: string, rank: number): RouteAdmission {
        const nowMs = this.readNowMs();
        const admission = this.admissions.get(route)
            ?? { probability: 1, credit: 1, answers: 0, congestionSum: 0, windowStartMs: nowMs };
        this.admissions.set(route, admission);
        const elapsedMs = nowMs - admission.windowStartMs;
        const isWindowOver = admission.answers > 0 ? elapsedMs >= updateWindowMs : elapsedMs >= idleWindowMs;
        if (!isWindowOver) {
            return admission;
        }
        const { answers, congestionSum } = admission;
        const elapsedWindows = Math.min(maxWindowsPerUpdate, elapsedMs / updateWindowMs);
        const windows = congestionSum > 0 ? Math.min(elapsedWindows, answers) : elapsedWindows;
        admission.probability = updateAdmissionByCongestion(admission.probability, {
            answers,
            congestionSum,
            windows,
        }, rank);
        admission.answers = 0;
        admission.congestionSum = 0;
        admission.windowStartMs = nowMs;
        return admission;
    }
}
