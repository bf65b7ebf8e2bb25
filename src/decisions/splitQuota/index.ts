import { msPerSecond } from "../../constants";
import { type Quota } from "../../routing/types";

/** Bound on the requests of an organisation in any window: (rate x window + burst) x (1 + overshoot) + slack. */
export interface QuotaBounds {
    readonly windowMs: number;
    /** Share by which the limit may be exceeded, 0 to 1. */
    readonly overshoot: number;
    /** Requests allowed in addition. */
    readonly slack: number;
}

/** Tokens of an organisation for all nodes together; each node owns an equal share of them. */
export interface QuotaPart {
    readonly ratePerMs: number;
    /** Tokens that may be saved up. */
    readonly burst: number;
    /** Tokens available when all nodes have just started. */
    readonly initial: number;
}

/** Longest time from the grant of a token to its use, in milliseconds. */
export const tokenTtlMs = 750;
/** Divisor of the bound that leaves a margin for nodes whose lists of nodes differ. */
const listMargin = 1.03;
/** Shares of what the bound allows beyond the rate: as a higher rate, as tokens at a start; the rest is the burst. */
const extraRateShare = 0.35;
const initialShare = 0.25;

/**
 * Computes the tokens of a quota. They stay within the bound in any window, also after one restart of all nodes. What the
 * bound allows beyond the limit makes up for shares that are held apart, or by nodes that don't answer.
 */
export const splitQuota = ({ ratePerSecond, burst }: Quota, bounds: QuotaBounds): QuotaPart => {
    const windowRequests = ratePerSecond * bounds.windowMs / msPerSecond + burst;
    const bound = (windowRequests * (1 + bounds.overshoot) + bounds.slack) / listMargin;
    const usableMs = bounds.windowMs + tokenTtlMs;
    const ratePerMs = Math.min(ratePerSecond / msPerSecond, bound / usableMs);
    const rest = bound - ratePerMs * usableMs;
    return {
        ratePerMs: ratePerMs + extraRateShare * rest / usableMs,
        burst: (1 - extraRateShare - initialShare) * rest,
        initial: initialShare * rest,
    };
};
