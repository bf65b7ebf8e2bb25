import { msPerSecond } from "../../constants";

/** Tokens that accrue at a rate; each admits one request. */
export interface TokenBucket {
    readonly ratePerSecond: number;
    /** Tokens at `updatedAtMs`; fractions accrue. */
    readonly tokens: number;
    readonly updatedAtMs: number;
}

/** Lowest rate; even an upstream that takes nothing gets a request now and then, whose answer shows a changed rate. */
const minRatePerSecond = 0.25;
/** Time whose tokens may be saved up, in seconds, and bounds of their number. */
const burstSeconds = 0.5;
const minBurst = 1;
const maxBurst = 3;
/** Tolerance for sums of fractions. */
const tokenTolerance = 1e-9;

const computeBurst = (ratePerSecond: number): number =>
    Math.min(maxBurst, Math.max(minBurst, ratePerSecond * burstSeconds));

const computeTokens = ({ ratePerSecond, tokens, updatedAtMs }: TokenBucket, nowMs: number): number =>
    Math.min(
        computeBurst(ratePerSecond),
        tokens + Math.max(0, nowMs - updatedAtMs) * ratePerSecond / msPerSecond,
    );

/** Creates an empty bucket, since requests may have been sent just before its rate was known. */
export const createTokenBucket = (ratePerSecond: number, nowMs: number): TokenBucket => ({
    ratePerSecond: Math.max(minRatePerSecond, ratePerSecond),
    tokens: 0,
    updatedAtMs: nowMs,
});

/** Changes the rate from now on; tokens saved up at the former rate stay up to the new burst. */
export const updateTokenRate = (bucket: TokenBucket, ratePerSecond: number, nowMs: number): TokenBucket => {
    const changed = createTokenBucket(ratePerSecond, nowMs);
    return { ...changed, tokens: Math.min(computeBurst(changed.ratePerSecond), computeTokens(bucket, nowMs)) };
};

/** Takes a token for a request; returns undefined if there is none. */
export const takeToken = (bucket: TokenBucket, nowMs: number): TokenBucket | undefined => {
    const tokens = computeTokens(bucket, nowMs);
    return tokens < 1 - tokenTolerance
        ? undefined
        : { ...bucket, tokens: Math.max(0, tokens - 1), updatedAtMs: Math.max(nowMs, bucket.updatedAtMs) };
};

/** Computes the time until `count` tokens have accrued, in milliseconds; each is taken as soon as it is there. */
export const computeTokenWaitMs = (bucket: TokenBucket, count: number, nowMs: number): number =>
    Math.max(0, count - computeTokens(bucket, nowMs)) / bucket.ratePerSecond * msPerSecond;
