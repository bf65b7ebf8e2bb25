/** One node's share of a service's retry budget, for one route. */
export interface RetryBudgetShare {
    /** Retries that each request of this node adds to the budget. */
    readonly ratio: number;
    /** Retries allowed in one window in addition to the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Retry budget of a service, for all nodes and routes together. */
export interface RetryBudgetOptions {
    /** Retries that each request to the service adds to the budget. */
    readonly ratio: number;
    /** Retries allowed in one window in addition to the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

/**
 * Share of the ratio for routes without nested calls. The rest is a margin for nodes whose lists of nodes differ, and
 * for windows in which the shares of the nodes change.
 */
const leafShare = 0.6;
/** Share of the ratio for routes with nested calls: the nested calls of a retry are retries too, at all depths. */
const innerShare = 0.2;
/** Share of the slack for one route; the rest is for other routes that lead to the same service. */
const slackShare = 0.3;

/**
 * Retries of direct requests, as a share of all requests of their service. Where direct requests are few, this permits
 * more retries for each of them than the ratio of the service.
 */
const directRetryShare = 0.02;
/** Maximum number of retries for each request of a route. */
const maxRatio = 1;

/** Statistics of the requests of one route. */
export interface RouteStats {
    /** Mean number of nested calls that a request causes, at all depths together. */
    readonly nestedCalls: number;
    /**
     * Share of the service's slot time that direct requests use, 0 to 1. Callers pass 1 for routes of nested requests.
     */
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
 * Token bucket for the retries that one node sends for one route. Nodes share no counter: each accrues tokens only from
 * its own requests and from its share of the slack.
 */
export class RetryBudget {
    /**
     * Retries that the node may send now; may be negative, since nested calls of retries are charged even if no token
     * is left.
     */
    private tokens: number;
    /** Tokens accrued from requests in about one window; determines the maximum number of tokens. */
    private accrued = 0;
    private updatedAtMs: number;

    constructor(private share: RetryBudgetShare, nowMs: number) {
        this.tokens = share.slack;
        this.updatedAtMs = nowMs;
    }

    /** Replaces the node's share of the budget; tokens are kept. */
    updateShare(share: RetryBudgetShare): void {
        this.share = share;
    }

    /** Records the first attempt of a request, which accrues tokens. */
    recordRequest(nowMs: number): void {
        this.updateTokens(nowMs);
        this.accrued += this.share.ratio;
        this.tokens = Math.min(this.tokens + this.share.ratio, this.computeMaxTokens());
    }

    /**
     * Consumes a token for a nested call of a retry, even if no token is left; such a call counts as a retry itself.
     */
    recordNestedRetry(nowMs: number): void {
        this.updateTokens(nowMs);
        this.tokens = Math.max(this.tokens - 1, -this.computeMaxTokens());
    }

    /**
     * Consumes one token for a retry. Returns false if less than one token is left, or less than `reserve`, a share of
     * the maximum number of tokens, 0 to 1.
     */
    tryConsume(nowMs: number, reserve = 0): boolean {
        this.updateTokens(nowMs);
        if (this.tokens < Math.max(1, reserve * this.computeMaxTokens())) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    private computeMaxTokens(): number {
        return this.share.slack + Math.max(1, this.accrued);
    }

    /** Lets `accrued` decay and refills the slack, in proportion to the share of a window since the last update. */
    private updateTokens(nowMs: number): void {
        const elapsed = Math.min(1, Math.max(0, nowMs - this.updatedAtMs) / this.share.windowMs);
        this.updatedAtMs = nowMs;
        this.accrued *= 1 - elapsed;
        this.tokens = Math.min(this.tokens + this.share.slack * elapsed, this.computeMaxTokens());
    }
}
