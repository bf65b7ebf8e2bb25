/** Figures of the allowance for repeats, which hold for all nodes together. */
export interface RepeatAllowance {
    /** Repeats for each request to a service. */
    readonly ratio: number;
    /** Repeats beyond the ratio in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Share of the allowance that nodes use; the rest is for nodes with differing lists and for the calls of repeats. */
const usedShare = 0.5;

/**
 * Holds one node's part of the allowance for repeats to one service, without a counter that nodes share. The ratio is
 * of the requests that this node has sent itself; the slack is divided by the number of nodes.
 */
export class RepeatBudget {
    private tokens: number;
    private lastMs: number;

    constructor(private readonly allowance: RepeatAllowance, private nodes: number, nowMs: number) {
        this.tokens = this.computeSlack();
        this.lastMs = nowMs;
    }

    /** Takes the number of nodes that divide the slack. */
    updateNodes(nodes: number): void {
        this.nodes = nodes;
    }

    /** Records the first sending of a request. */
    recordRequest(nowMs: number): void {
        this.expireTokens(nowMs);
        const most = Math.max(this.computeSlack(), 1) + this.tokensOfWindow;
        this.tokens = Math.min(most, this.tokens + this.allowance.ratio * usedShare);
        this.tokensOfWindow += this.allowance.ratio * usedShare;
    }

    /** Takes one repeat; false when no more than a share of what could be saved up is left. */
    tryTake(nowMs: number, reserve = 0): boolean {
        this.expireTokens(nowMs);
        const most = Math.max(this.computeSlack(), 1) + this.tokensOfWindow;
        if (this.tokens < Math.max(1, reserve * most)) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** Repeats earned lately; bounds how many can be saved up. */
    private tokensOfWindow = 0;

    private computeSlack(): number {
        return this.allowance.slack * usedShare / Math.max(1, this.nodes);
    }

    /** Lets what was earned long ago lapse, and gives the slack back over a window. */
    private expireTokens(nowMs: number): void {
        const elapsed = Math.min(1, Math.max(0, nowMs - this.lastMs) / this.allowance.windowMs);
        this.lastMs = nowMs;
        const slack = this.computeSlack();
        this.tokensOfWindow *= 1 - elapsed;
        this.tokens = Math.min(this.tokens + slack * elapsed, Math.max(slack, 1) + this.tokensOfWindow);
    }
}
