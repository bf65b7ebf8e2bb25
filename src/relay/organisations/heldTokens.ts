/** Tokens of one organisation that a node holds, and its requests that wait for some. */
import { type QuotaPart, tokenTtlMs } from "../../decisions/splitQuota";

/** Whether a request is within its organisation's quota; "unsure" if the node that knows can't be asked. */
export type QuotaVerdict =
    | { readonly kind: "granted"; }
    | { readonly kind: "exceeded"; readonly waitMs: number; }
    | { readonly kind: "unsure"; };

type SettleRequest = (verdict: QuotaVerdict) => void;

interface WaitingRequest {
    readonly settle: SettleRequest;
    readonly sinceMs: number;
}

/** Longest time that a request waits for a node that can tell whether its quota is exceeded, in milliseconds. */
const maxWaitMs = 800;

/** Time for whose expected requests tokens are taken in advance, in milliseconds. */
const prefetchMs = 300;
/** Weight of the latest request in the moving mean of the intervals between an organisation's requests. */
const intervalWeight = 0.2;
const maxIntervalMs = 10_000;
const maxPrefetch = 8;
/** Highest number of tokens in one query. */
const maxAsked = 1_000;

/** Gives tokens to requests; expects more of them soon if they come often. */
export class HeldTokens {
    /** Times until which the tokens may be used, in milliseconds. */
    private readonly expiries: number[] = [];
    private waiting: WaitingRequest[] = [];
    /** Numbers of requests and of tokens that the query under way asks for. */
    private asked = { requests: 0, tokens: 0 };
    private refusedUntilMs = -Infinity;
    private meanIntervalMs = maxIntervalMs;
    private requestedAtMs = -Infinity;

    constructor(private part: QuotaPart) {}

    get quotaPart(): QuotaPart {
        return this.part;
    }

    get isWaiting(): boolean {
        return this.waiting.length > 0;
    }

    updatePart(part: QuotaPart): void {
        this.part = part;
        this.refusedUntilMs = -Infinity;
    }

    /** Judges a request by what is known here; returns undefined if the holder of the shares must be asked. */
    judge(nowMs: number): QuotaVerdict | undefined {
        this.recordRequest(nowMs);
        while (this.expiries.length > 0 && this.expiries[0]! <= nowMs) {
            this.expiries.shift();
        }
        if (this.expiries.shift() !== undefined) {
            return { kind: "granted" };
        }
        return nowMs < this.refusedUntilMs ? { kind: "exceeded", waitMs: this.refusedUntilMs - nowMs } : undefined;
    }

    enqueue(settle: SettleRequest, nowMs: number): void {
        this.waiting.push({ settle, sinceMs: nowMs });
    }

    /** Takes back the token of a request that was not used. */
    release(nowMs: number): void {
        this.expiries.push(nowMs + prefetchMs);
    }

    /** Returns the number of tokens to ask for. */
    beginQuery(): number {
        const expected = Math.min(maxPrefetch, Math.floor(prefetchMs / Math.max(1, this.meanIntervalMs)));
        const requests = Math.min(maxAsked, this.waiting.length);
        this.asked = { requests, tokens: requests + expected };
        return this.asked.tokens;
    }

    /**
     * Gives granted tokens to waiting requests, and keeps the rest. Requests that were asked for in vain are refused if the
     * quota is exceeded; if that can't be known, which a negative `waitMs` tells, they wait on.
     */
    applyGrant([count, waitMs]: readonly [count: number, waitMs: number], nowMs: number): void {
        const { requests, tokens } = this.asked;
        const isExceeded = count < tokens && waitMs >= 0;
        const restCount = count - this.settleFirst(count, { kind: "granted" });
        this.expiries.push(...Array.from({ length: restCount }, () => nowMs + tokenTtlMs));
        if (isExceeded) {
            this.settleFirst(requests - count, { kind: "exceeded", waitMs });
        }
        this.refusedUntilMs = count === 0 ? nowMs + waitMs : -Infinity;
    }

    /** Settles the requests that have waited too long for a node that knows their quota. */
    refuseOverdue(nowMs: number): void {
        const overdue = this.waiting.filter(({ sinceMs }) => nowMs - sinceMs >= maxWaitMs);
        this.settleFirst(overdue.length, { kind: "unsure" });
    }

    /** Settles all waiting requests alike. */
    settleAll(verdict: QuotaVerdict): void {
        this.settleFirst(this.waiting.length, verdict);
    }

    /** Settles up to `count` waiting requests alike; returns how many. */
    private settleFirst(count: number, verdict: QuotaVerdict): number {
        const settled = this.waiting.slice(0, Math.max(0, count));
        this.waiting = this.waiting.slice(settled.length);
        settled.forEach(({ settle }) => settle(verdict));
        return settled.length;
    }

    private recordRequest(nowMs: number): void {
        const intervalMs = Math.min(maxIntervalMs, nowMs - this.requestedAtMs);
        this.requestedAtMs = nowMs;
        this.meanIntervalMs += intervalWeight * (intervalMs - this.meanIntervalMs);
    }
}
