/** One node's share of the retry budget, for one route. */
export interface RetryBudgetShare {
    /** Retries for each request that this node sends. */
    readonly ratio: number;
    /** Retries beyond the ratio in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Retry budget of a service, for all nodes and routes together. */
export interface RetryBudgetOptions {
    /** Retries for each request to the service. */
    readonly ratio: number;
    /** Retries beyond the ratio in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/**
 * Share of the ratio for routes without nested calls. The rest is kept for nodes whose lists of nodes differ, and for
 * windows that begin in the middle of a change.
 */
const leafShare = 0.6;
/** Share of the ratio for routes with nested calls: the nested calls of a retry are retries too, at every depth. */
const innerShare = 0.2;
/** Share of the slack that a route gets, since several routes lead to one service. */
const slackShare = 0.3;

/** Retries of direct requests, as a share of all requests of a service that mostly serves nested ones. */
const directRetryShare = 0.02;
/** A route has at most one retry for each request. */
const maxRatio = 1;

/** Statistics of the requests of one route. */
export interface RouteStats {
    /** Mean number of nested calls of a request, at all depths together. */
    readonly nestedCalls: number;
    /** Share of the service's slot time that direct requests use, 0 to 1; 1 for nested requests. */
    readonly directShare: number;
}

/** Computes one node's share of the retry budget for a route. */
export const computeRetryBudgetShare = (
    options: RetryBudgetOptions,
    nodes: number,
    { nestedCalls, directShare }: RouteStats,
): RetryBudgetShare => {
    const ratio = options.ratio * (nestedCalls < 1 ? leafShare : innerShare);
    const directRatio = nestedCalls < 1
        ? Math.min(maxRatio, directRetryShare / Math.max(directRetryShare, directShare))
        : 0;
    return {
        ratio: Math.max(ratio, directRatio),
        slack: options.slack * slackShare / (Math.max(1, nodes) * (1 + nestedCalls)),
        windowMs: options.windowMs,
    };
};

/**
 * Token bucket for the retries of one route by one node. It needs no counter that nodes share: it accrues a ratio of
 * the requests that this node sends, and a share of the slack.
 */
export class RetryBudget {
    private tokens: number;
    /** Tokens accrued recently; bounds how many may accumulate. */
    private accrued = 0;
    private updatedAtMs: number;

    constructor(private share: RetryBudgetShare, nowMs: number) {
        this.tokens = share.slack;
        this.updatedAtMs = nowMs;
    }

    /** Replaces the node's share of the budget. */
    updateShare(share: RetryBudgetShare): void {
        this.share = share;
    }

    /** Records the first attempt of a request, which accrues tokens. */
    recordRequest(nowMs: number): void {
        this.expireTokens(nowMs);
        this.accrued += this.share.ratio;
        this.tokens = Math.min(this.tokens + this.share.ratio, this.computeMaxTokens());
    }

    /** Records a nested call of a retry, which counts as a retry itself. */
    recordNestedRetry(nowMs: number): void {
        this.expireTokens(nowMs);
        this.tokens = Math.max(this.tokens - 1, -this.computeMaxTokens());
    }

    /**
     * Consumes one retry; returns false if less than one token or less than `reserve`, a share of the maximum, is left.
     */
    tryConsume(nowMs: number, reserve = 0): boolean {
        this.expireTokens(nowMs);
        if (this.tokens < Math.max(1, reserve * this.computeMaxTokens())) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private computeMaxTokens(): number {
        return this.share.slack + Math.max(1, this.accrued);
    }

    /** Lets accrued tokens decay over a window, and restores the slack over a window. */
    private expireTokens(nowMs: number): void {
        const elapsed = Math.min(1, Math.max(0, nowMs - this.updatedAtMs) / this.share.windowMs);
        this.updatedAtMs = nowMs;
        this.accrued *= 1 - elapsed;
        this.tokens = Math.min(this.tokens + this.share.slack * elapsed, this.computeMaxTokens());
    }
}
