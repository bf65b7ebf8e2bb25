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

/** Tokens of an organisation in one failure domain. */
export interface QuotaPart {
    readonly ratePerMs: number;
    /** Tokens that may be saved up. */
    readonly burst: number;
    /** Tokens available when all nodes of the domain have just started. */
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
 * Computes the part of a quota that each failure domain holds by itself. The parts of all domains together stay within
 * the bound in any window, also after one restart of all nodes, so that domains need not hear of each other. What the
 * bound allows beyond the limit makes up for organisations whose requests come unevenly over the domains.
 */
export const splitQuota = ({ ratePerSecond, burst }: Quota, domains: number, bounds: QuotaBounds): QuotaPart => {
    const windowRequests = ratePerSecond * bounds.windowMs / msPerSecond + burst;
    const bound = (windowRequests * (1 + bounds.overshoot) + bounds.slack) / (listMargin * domains);
    const usableMs = bounds.windowMs + tokenTtlMs;
    const ratePerMs = Math.min(ratePerSecond / msPerSecond / domains, bound / usableMs);
    const rest = bound - ratePerMs * usableMs;
    return {
        ratePerMs: ratePerMs + extraRateShare * rest / usableMs,
        burst: (1 - extraRateShare - initialShare) * rest,
        initial: initialShare * rest,
    };
};
