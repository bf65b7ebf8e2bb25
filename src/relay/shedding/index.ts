/** Decides which direct requests to admit, from the congestion that the answers to earlier requests reported. */
import { LRUCache } from "lru-cache";
import { computeFairProbability } from "../../decisions/computeFairLevel";
import { updateAdmissionByCongestion } from "../../decisions/updateAdmissionByCongestion";
import { RecentDemand } from "./recentDemand";

/** Interval between updates of an admission probability while answers arrive, in milliseconds. */
const updateWindowMs = 100;
/** Time without answers, thus with unknown congestion, after which an admission probability grows, in milliseconds. */
const idleWindowMs = 1_000;
/**
 * Number of update windows by which an admission probability grows after that time. It is small, since an entry that sheds
 * nearly all of a few requests gets no answers for that reason alone.
 */
const idleGrowthWindows = 3;
/** Maximum number of update windows that one update covers; after reported congestion, at most one per answer. */
const maxWindowsPerUpdate = 10;
/** Weight of one report in the moving mean of the congestion of a route's nested requests. */
const congestionWeight = 0.1;
/** Age after which the mean congestion of nested requests decays, and time constant of its decay, in milliseconds. */
const decayMs = 500;
/** Mean congestion below which the nested requests of a route count as uncongested. */
const uncongestedThreshold = 0.1;
/** Weight of one request in the moving mean of `fairBias`. */
const fairBiasWeight = 0.05;
/** Number of returning requests that may be admitted in advance, at the expense of later new ones. */
const maxReturningCredit = 4;
/** Maximum number of shed requests that are remembered, over all routes. */
const maxShedRequests = 10_000;
/** Time for which a shed request is remembered, in milliseconds; callers retry only until their own deadline. */
const shedRequestTtlMs = 5_000;

interface RouteAdmission {
    /** Probability with which a direct request is admitted, 0 to 1. */
    probability: number;
    /** Accrued fraction of a request to admit, less than 2. Early admission of returning requests makes it negative. */
    credit: number;
    /** Number of answers in the current window. */
    answers: number;
    /** Sum of the congestion that these answers reported. */
    congestionSum: number;
    windowStartMs: number;
    /** Level up to which organisations are admitted alike; undefined until it is needed after an update. */
    fairLevel: number | undefined;
    /** Moving mean of the probabilities of organisations, as a multiple of the admission probability. */
    fairBias: number;
}

/** A direct request at the entry. */
export interface DirectRequest {
    readonly route: string;
    readonly rank: number;
    /** Name of the organisation that sends it; undefined if that is not known. */
    readonly organisation: string | undefined;
    /** Text by which the request is recognized when it returns after it was shed. */
    readonly identity: string;
}

interface NestedCongestion {
    /** Moving mean at the time of the last report, 0 to 1. */
    congestion: number;
    updatedAtMs: number;
}

/** Sheds direct requests by the admission probability of their route and rank, and recognizes those that return. */
export class Shedding {
    private readonly demandByRank = new Map<number, RecentDemand>();
    /** Admissions by route and by the rank of the requests. */
    private readonly admissions = new Map<string, Map<number, RouteAdmission>>();
    private readonly nestedCongestions = new Map<string, NestedCongestion>();
    private readonly shedRequests: LRUCache<string, true>;

    constructor(private readonly readNowMs: () => number) {
        this.shedRequests = new LRUCache({ max: maxShedRequests, ttl: shedRequestTtlMs, perf: { now: readNowMs } });
    }

    /**
     * Decides whether to admit a direct request. A request with a recently shed `identity` precedes new ones, and
     * organisations that send much are shed before those that send little.
     */
    tryAdmit({ route, rank, organisation, identity }: DirectRequest): boolean {
        const admission = this.updateAdmission(route, rank);
        const probability = organisation === undefined
            ? admission.probability
            : this.computeOrganisationProbability(admission, rank, organisation);
        if (probability >= 1 && admission.credit >= 1) {
            return true;
        }
        const isReturning = this.shedRequests.delete(identity);
        admission.credit += probability;
        if (admission.credit < (isReturning ? 1 - maxReturningCredit : 1)) {
            this.shedRequests.set(identity, true);
            return false;
        }
        admission.credit -= 1;
        return true;
    }

    /** Returns the admission probability of a route's direct requests of a rank, 0 to 1. */
    readAdmissionProbability(route: string, rank: number): number {
        return this.admissions.get(route)?.get(rank)?.probability ?? 1;
    }

    /**
     * Records the congestion that the answer to a direct request reported, 0 to 1. Where an important request meets
     * congestion a less important one would too, and where the latter meets none the former wouldn't either.
     */
    recordAnswer(route: string, rank: number, congestion: number): void {
        this.getAdmission(route, rank);
        this.admissions.get(route)!.forEach((unused, otherRank) => {
            const isTelling = otherRank === rank || (congestion > 0 ? otherRank > rank : otherRank < rank);
            if (isTelling) {
                const admission = this.updateAdmission(route, otherRank);
                admission.answers += 1;
                admission.congestionSum += congestion;
            }
        });
    }

    /** Records the congestion that the answer to a nested request reported, 0 to 1; a refused request counts as 1. */
    recordNestedAnswer(route: string, congestion: number): void {
        const nestedCongestion = this.nestedCongestions.get(route) ?? { congestion: 0, updatedAtMs: 0 };
        const decayedCongestion = this.computeDecayedCongestion(nestedCongestion);
        nestedCongestion.congestion = decayedCongestion + congestionWeight * (congestion - decayedCongestion);
        nestedCongestion.updatedAtMs = this.readNowMs();
        this.nestedCongestions.set(route, nestedCongestion);
    }

    /**
     * Whether a route has capacity for a hedged request. For nested requests that have reported congestion, their mean
     * congestion must be low; otherwise, the route's admission probability must be 1.
     */
    isUncongested(route: string, rank: number, nested: boolean): boolean {
        const nestedCongestion = nested ? this.nestedCongestions.get(route) : undefined;
        return nestedCongestion
            ? this.computeDecayedCongestion(nestedCongestion) < uncongestedThreshold
            : this.readAdmissionProbability(route, rank) >= 1;
    }

    private computeOrganisationProbability(admission: RouteAdmission, rank: number, organisation: string): number {
        const nowMs = this.readNowMs();
        const demand = this.demandByRank.get(rank) ?? new RecentDemand();
        this.demandByRank.set(rank, demand);
        const earlier = demand.record(organisation, nowMs);
        if (admission.probability >= 1) {
            return 1;
        }
        admission.fairLevel ??= demand.computeLevel(admission.probability, nowMs);
        const probability = computeFairProbability(admission.fairLevel, earlier);
        // Organisations that were not seen lately make the level too high for the share that is to be admitted.
        admission.fairBias += fairBiasWeight * (probability / admission.probability - admission.fairBias);
        return Math.min(1, probability / admission.fairBias);
    }

    /** Returns the admission state of a route and rank as it is; creates it if there is none. */
    private getAdmission(route: string, rank: number): RouteAdmission {
        const known = this.admissions.get(route)?.get(rank);
        if (known) {
            return known;
        }
        const created: RouteAdmission = {
            probability: 1,
            credit: 1,
            answers: 0,
            congestionSum: 0,
            windowStartMs: this.readNowMs(),
            fairLevel: undefined,
            fairBias: 1,
        };
        const byRank = this.admissions.get(route) ?? new Map<number, RouteAdmission>();
        this.admissions.set(route, byRank.set(rank, created));
        return created;
    }

    private computeDecayedCongestion(nestedCongestion: NestedCongestion): number {
        const ageMs = this.readNowMs() - nestedCongestion.updatedAtMs;
        return ageMs > decayMs
            ? nestedCongestion.congestion * Math.exp(1 - ageMs / decayMs)
            : nestedCongestion.congestion;
    }

    /** Returns the admission state of a route and rank; updates its probability first if the window is over. */
    private updateAdmission(route: string, rank: number): RouteAdmission {
        const nowMs = this.readNowMs();
        const admission = this.getAdmission(route, rank);
        const elapsedMs = nowMs - admission.windowStartMs;
        const isWindowOver = admission.answers > 0 ? elapsedMs >= updateWindowMs : elapsedMs >= idleWindowMs;
        if (!isWindowOver) {
            return admission;
        }
        const { answers, congestionSum } = admission;
        const elapsedWindows = Math.min(maxWindowsPerUpdate, elapsedMs / updateWindowMs);
        const windows = computeUpdateWindows(elapsedWindows, admission);
        admission.probability = updateAdmissionByCongestion(admission.probability, {
            answers,
            congestionSum,
            windows,
        }, rank);
        admission.answers = 0;
        admission.congestionSum = 0;
        admission.windowStartMs = nowMs;
        admission.fairLevel = undefined;
        return admission;
    }
}

const computeUpdateWindows = (elapsedWindows: number, { answers, congestionSum }: RouteAdmission): number => {
    if (answers === 0) {
        return Math.min(elapsedWindows, idleGrowthWindows);
    }
    return congestionSum > 0 ? Math.min(elapsedWindows, answers) : elapsedWindows;
};
