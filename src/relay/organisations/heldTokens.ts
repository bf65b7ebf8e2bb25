/** Tokens of one organisation that a node holds, and its requests that wait for some. */
import { type QuotaPart, tokenTtlMs } from "../../decisions/splitQuota";

/** Whether a request is within its organisation's quota; "unsure" if the node that knows can't be asked. */
export type QuotaVerdict =
    | { readonly kind: "granted"; }
    | { readonly kind: "exceeded"; readonly waitMs: number; }
    | { readonly kind: "unsure"; };

type SettleRequest = (verdict: QuotaVerdict) => void;

/** Time for whose expected requests tokens are taken in advance, in milliseconds. */
const prefetchMs = 300;
/** Weight of the latest request in the moving mean of the intervals between an organisation's requests. */
const intervalWeight = 0.2;
const maxIntervalMs = 10_000;
const maxPrefetch = 8;

/** Gives tokens to requests; expects more of them soon if they come often. */
export class HeldTokens {
    /** Times until which the tokens may be used, in milliseconds. */
    private readonly expiries: number[] = [];
    private waiting: SettleRequest[] = [];
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

    enqueue(settle: SettleRequest): void {
        this.waiting.push(settle);
    }

    /** Takes back the token of a request that was not used. */
    release(nowMs: number): void {
        this.expiries.push(nowMs + prefetchMs);
    }

    /** Returns the number of tokens to ask for. */
    beginQuery(): number {
        const expected = Math.min(maxPrefetch, Math.floor(prefetchMs / Math.max(1, this.meanIntervalMs)));
        this.asked = { requests: this.waiting.length, tokens: this.waiting.length + expected };
        return this.asked.tokens;
    }

    /** Gives granted tokens to waiting requests, refuses those that were asked for in vain, and keeps the rest. */
    applyGrant([count, waitMs]: readonly [count: number, waitMs: number], nowMs: number): void {
        const { requests, tokens } = this.asked;
        const isExhausted = count < tokens;
        const settled = this.waiting.slice(0, isExhausted ? Math.max(requests, count) : count);
        this.waiting = this.waiting.slice(settled.length);
        const refusal: QuotaVerdict = waitMs < 0 ? { kind: "unsure" } : { kind: "exceeded", waitMs };
        settled.forEach((settle, index) => settle(index < count ? { kind: "granted" } : refusal));
        this.expiries.push(...Array.from({ length: Math.max(0, count - settled.length) }, () => nowMs + tokenTtlMs));
        this.refusedUntilMs = count === 0 ? nowMs + waitMs : -Infinity;
    }

    /** Settles all waiting requests alike. */
    settleAll(verdict: QuotaVerdict): void {
        const settled = this.waiting;
        this.waiting = [];
        settled.forEach(settle => settle(verdict));
    }

    private recordRequest(nowMs: number): void {
        const intervalMs = Math.min(maxIntervalMs, nowMs - this.requestedAtMs);
        this.requestedAtMs = nowMs;
        this.meanIntervalMs += intervalWeight * (intervalMs - this.meanIntervalMs);
    }
}
