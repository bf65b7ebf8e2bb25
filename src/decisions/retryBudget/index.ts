/** One node's part of the allowance for repeats of one route. */
export interface RetryBudgetShare {
    /** Repeats for each request that this node sends. */
    readonly ratio: number;
    /** Repeats beyond the ratio in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Figures of the allowance for repeats, which hold for all nodes and routes of a service together. */
export interface RetryBudgetOptions {
    /** Repeats for each request to a service. */
    readonly ratio: number;
    /** Repeats beyond the ratio in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/**
 * Share of the ratio that routes without calls use. What is left is for nodes with differing lists, and for windows that
 * begin in the middle of a change.
 */
const leafShare = 0.6;
/** Share of the ratio for routes with calls: the calls of a repeat are repeats themselves, at every level below. */
const innerShare = 0.2;
/** Share of the slack that is used; several routes lead to one service. */
const slackShare = 0.3;

/** Part of a service's requests that the repeats of callers' requests may come to, where most requests are nested. */
const directPart = 0.02;
/** A route never repeats more often than each request once. */
const largestRatio = 1;

/** What is known of a route's requests. */
export interface RouteStats {
    /** Calls that a request leads to, over all levels below. */
    readonly nestedCalls: number;
    /** Share of their service's work that requests of callers make, 0 to 1; 1 for nested requests. */
    readonly directShare: number;
}

/** Computes one node's part for a route. */
export const computeRetryBudgetShare = (
    allowance: RetryBudgetOptions,
    nodes: number,
    { nestedCalls: calls, directShare }: RouteStats,
): RetryBudgetShare => {
    const ratio = allowance.ratio * (calls < 1 ? leafShare : innerShare);
    const few = calls < 1 ? Math.min(largestRatio, directPart / Math.max(directPart, directShare)) : 0;
    return {
        ratio: Math.max(ratio, few),
        slack: allowance.slack * slackShare / (Math.max(1, nodes) * (1 + calls)),
        windowMs: allowance.windowMs,
    };
};

/**
 * Holds one node's part of the allowance for repeats of one route, without a counter that nodes share: a ratio of the
 * requests that this node has sent itself, and a part of the slack.
 */
export class RetryBudget {
    private tokens: number;
    /** Repeats earned lately; bounds how many can be saved up. */
    private earned = 0;
    private lastMs: number;

    constructor(private part: RetryBudgetShare, nowMs: number) {
        this.tokens = part.slack;
        this.lastMs = nowMs;
    }

    /** Takes a part that has changed. */
    updateShare(part: RetryBudgetShare): void {
        this.part = part;
    }

    /** Records the first sending of a request. */
    recordRequest(nowMs: number): void {
        this.expireTokens(nowMs);
        this.earned += this.part.ratio;
        this.tokens = Math.min(this.tokens + this.part.ratio, this.computeMost());
    }

    /** Records a request that counts as a repeat, since it is a call of one. */
    recordNestedRetry(nowMs: number): void {
        this.expireTokens(nowMs);
        this.tokens = Math.max(this.tokens - 1, -this.computeMost());
    }

    /** Takes one repeat; false when no more than a share of what could be saved up is left. */
    tryConsume(nowMs: number, reserve = 0): boolean {
        this.expireTokens(nowMs);
        if (this.tokens < Math.max(1, reserve * this.computeMost())) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private computeMost(): number {
        return this.part.slack + Math.max(1, this.earned);
    }

    /** Lets what was earned long ago lapse, and gives the slack back over a window. */
    private expireTokens(nowMs: number): void {
        const elapsed = Math.min(1, Math.max(0, nowMs - this.lastMs) / this.part.windowMs);
        this.lastMs = nowMs;
        this.earned *= 1 - elapsed;
        this.tokens = Math.min(this.tokens + this.part.slack * elapsed, this.computeMost());
    }
}
