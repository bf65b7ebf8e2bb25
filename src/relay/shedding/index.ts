/** Which new requests are let in, by what the answers to earlier ones reported of congestion. */
import { LRUCache } from "lru-cache";
import { updateAdmissionByCongestion } from "../../decisions/updateAdmissionByCongestion";

/** Window of the entry shares, in milliseconds. */
const shareWindowMs = 100;
/** Without an answer, nothing is known of the congestion; after this time, a share grows nevertheless, in milliseconds. */
const silentWindowMs = 1_000;
/** Windows that one update stands for at most; fewer when a share shrinks on the word of fewer answers. */
const maxWindows = 10;
/** Weight of one report in the congestion of a kind of call. */
const congestionWeight = 0.1;
/** Time in which congestion that nothing more is heard of fades, in milliseconds. */
const fadeMs = 500;
/** Congestion below which a service counts as calm. */
const calmCongestion = 0.1;
/** Requests by which returning callers may go ahead of new ones. */
const returnCredit = 4;
/** Refused requests that are remembered, and for how long, in milliseconds; callers return within their deadline. */
const maxRemembered = 10_000;
const rememberedMs = 5_000;

interface EntryState {
    share: number;
    /** Carries the fraction of requests that is still to be let in; below zero when returning ones went ahead. */
    credit: number;
    answers: number;
    congestion: number;
    windowStartMs: number;
}

interface CallState {
    congestion: number;
    readAtMs: number;
}

/** Owns the share of each route's requests that is let in, and the requests that were refused and may return. */
export class Shedding {
    private readonly entries = new Map<string, EntryState>();
    private readonly calls = new Map<string, CallState>();
    private readonly refused: LRUCache<string, true>;

    constructor(private readonly readNowMs: () => number) {
        this.refused = new LRUCache({ max: maxRemembered, ttl: rememberedMs, perf: { now: readNowMs } });
    }

    /** Decides whether a request of a caller is let in. One that was refused before goes ahead of new ones. */
    tryAdmit(route: string, rank: number, identity: string): boolean {
        const state = this.openEntry(route, rank);
        if (state.share >= 1 && state.credit >= 1) {
            return true;
        }
        const isReturning = this.refused.delete(identity);
        state.credit = Math.min(1, state.credit + state.share);
        if (state.credit < (isReturning ? 1 - returnCredit : 1)) {
            this.refused.set(identity, true);
            return false;
        }
        state.credit -= 1;
        return true;
    }

    /** Share of a route's requests that is let in, 0 to 1. */
    readShare(route: string): number {
        return this.entries.get(route)?.share ?? 1;
    }

    /** Records the congestion that the answer to a caller's request reported, 0 to 1. */
    recordAnswer(route: string, rank: number, congestion: number): void {
        const state = this.openEntry(route, rank);
        state.answers += 1;
        state.congestion += congestion;
    }

    /** Records the congestion that the answer to a call of the local upstream reported, 0 to 1. */
    recordCall(route: string, congestion: number): void {
        const state = this.calls.get(route) ?? { congestion: 0, readAtMs: 0 };
        const faded = this.computeFaded(state);
        state.congestion = faded + congestionWeight * (congestion - faded);
        state.readAtMs = this.readNowMs();
        this.calls.set(route, state);
    }

    /** Whether nothing is congested on the way of a route, so that a second sending does no harm. */
    isCalm(route: string, nested: boolean): boolean {
        const state = nested ? this.calls.get(route) : undefined;
        return state ? this.computeFaded(state) < calmCongestion : this.readShare(route) >= 1;
    }

    private computeFaded(state: CallState): number {
        const ageMs = this.readNowMs() - state.readAtMs;
        return ageMs > fadeMs ? state.congestion * Math.exp(1 - ageMs / fadeMs) : state.congestion;
    }

    private openEntry(route: string, rank: number): EntryState {
        const nowMs = this.readNowMs();
        const state = this.entries.get(route)
            ?? { share: 1, credit: 1, answers: 0, congestion: 0, windowStartMs: nowMs };
        this.entries.set(route, state);
        const elapsedMs = nowMs - state.windowStartMs;
        const isOver = state.answers > 0 ? elapsedMs >= shareWindowMs : elapsedMs >= silentWindowMs;
        if (!isOver) {
            return state;
        }
        const { answers, congestion } = state;
        const elapsed = Math.min(maxWindows, elapsedMs / shareWindowMs);
        const windows = congestion > 0 ? Math.min(elapsed, answers) : elapsed;
        state.share = updateAdmissionByCongestion(state.share, { answers, congestionSum: congestion, windows }, rank);
        state.answers = 0;
        state.congestion = 0;
        state.windowStartMs = nowMs;
        return state;
    }
}
