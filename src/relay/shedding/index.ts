/** What a node knows of congestion beyond its own upstream, and what follows for new requests. */
import { FanOutEstimate } from "../../decisions/estimateFanOut";
import { updateEntryShare } from "../../decisions/updateEntryShare";

/** Window of the entry shares, in milliseconds. */
const shareWindowMs = 100;
/** Window of the counts from which the fan-out is estimated, in milliseconds. */
const fanOutWindowMs = 1_000;
/** Weight of one report in the congestion of a kind of call. */
const congestionWeight = 0.1;
/** Time in which congestion that nothing more is heard of fades, in milliseconds. */
const fadeMs = 500;
/** Time for which a refused call explains an error of the upstream, in milliseconds. */
const refusedCallMemoryMs = 2_000;

interface EntryState {
    share: number;
    /** Carries the fraction of requests that is still to be let in. */
    credit: number;
    answers: number;
    congestion: number;
    windowStartMs: number;
}

interface CallState {
    congestion: number;
    readAtMs: number;
}

/** Owns the share of each route's new requests that is let in, and the congestion of the calls of the local upstream. */
export class Shedding {
    private readonly entries = new Map<string, EntryState>();
    private readonly calls = new Map<string, CallState>();
    private readonly fanOut = new FanOutEstimate();
    private requestCounts = new Map<string, number>();
    private callCounts = new Map<string, number>();
    private countsSinceMs: number;
    private refusedCalls = 0;
    private lastRefusedCallMs = 0;

    constructor(private readonly readNowMs: () => number) {
        this.countsSinceMs = readNowMs();
    }

    /** Decides whether a new request of a route is let in. */
    admit(route: string, rank: number): boolean {
        const state = this.openEntry(route, rank);
        state.credit = Math.min(2, state.credit + state.share);
        if (state.credit < 1) {
            return false;
        }
        state.credit -= 1;
        return true;
    }

    /** Share of a route's new requests that is let in, 0 to 1. */
    readShare(route: string): number {
        return this.entries.get(route)?.share ?? 1;
    }

    /** Records the congestion that an answer to a new request reported, 0 to 1. */
    recordAnswer(route: string, rank: number, congestion: number): void {
        const state = this.openEntry(route, rank);
        state.answers += 1;
        state.congestion += congestion;
    }

    /** Counts a request that the local upstream is given. */
    countRequest(route: string): void {
        this.closeCountWindow();
        this.requestCounts.set(route, (this.requestCounts.get(route) ?? 0) + 1);
    }

    /** Counts a call that the local upstream makes. */
    countCall(route: string): void {
        this.closeCountWindow();
        this.callCounts.set(route, (this.callCounts.get(route) ?? 0) + 1);
    }

    /** Records the congestion that the answer to a call of the local upstream reported, 0 to 1. */
    recordCall(route: string, congestion: number): void {
        const state = this.calls.get(route) ?? { congestion: 0, readAtMs: 0 };
        state.congestion = this.fadeCongestion(state) * (1 - congestionWeight) + congestion * congestionWeight;
        state.readAtMs = this.readNowMs();
        this.calls.set(route, state);
    }

    /** Records that a call of the local upstream was refused, so that its request is going to fail. */
    recordRefusedCall(): void {
        this.refusedCalls += 1;
        this.lastRefusedCallMs = this.readNowMs();
    }

    /** Whether an error of the local upstream is explained by a refused call; each explains one error. */
    takeRefusedCall(): boolean {
        const isRecent = this.readNowMs() - this.lastRefusedCallMs < refusedCallMemoryMs;
        if (this.refusedCalls === 0 || !isRecent) {
            this.refusedCalls = 0;
            return false;
        }
        this.refusedCalls -= 1;
        return true;
    }

    /** Congestion that the calls of a route's requests meet further on, 0 to 1. */
    computeBelow(route: string): number {
        let below = 0;
        this.calls.forEach((state, call) => {
            if (state.congestion > below && this.fanOut.estimate(route, call) > 0) {
                below = Math.max(below, this.fadeCongestion(state));
            }
        });
        return below;
    }

    private fadeCongestion(state: CallState): number {
        const ageMs = this.readNowMs() - state.readAtMs;
        return ageMs > fadeMs ? state.congestion * Math.exp(1 - ageMs / fadeMs) : state.congestion;
    }

    private openEntry(route: string, rank: number): EntryState {
        const nowMs = this.readNowMs();
        const state = this.entries.get(route)
            ?? { share: 1, credit: 1, answers: 0, congestion: 0, windowStartMs: nowMs };
        this.entries.set(route, state);
        if (nowMs - state.windowStartMs >= shareWindowMs) {
            state.share = updateEntryShare(state.share, state, rank);
            state.answers = 0;
            state.congestion = 0;
            state.windowStartMs = nowMs;
        }
        return state;
    }

    private closeCountWindow(): void {
        const nowMs = this.readNowMs();
        if (nowMs - this.countsSinceMs < fanOutWindowMs) {
            return;
        }
        this.fanOut.addWindow(this.requestCounts, this.callCounts);
        this.requestCounts = new Map();
        this.callCounts = new Map();
        this.countsSinceMs = nowMs;
    }
}
