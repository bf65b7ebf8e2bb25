import { validate, version } from "uuid";
import { keyClockMarginMs } from "../../constants";

/** Verdict on an idempotency key that the home has no record of. */
export type KeyAge = "fresh" | "before-start" | "from-future" | "expired" | "not-uuid-v7";

const timestampHexDigits = 12;

/** Reads the mint time out of a UUID of version 7, in milliseconds since 1970. */
const readMintTime = (key: string): number => Number.parseInt(key.replaceAll("-", "").slice(0, timestampHexDigits), 16);

/** The home's own times, in milliseconds since 1970. */
export interface HomeTimes {
    readonly startedAtMs: number;
    readonly nowMs: number;
    /** How long records are kept after their request has ended, in milliseconds. */
    readonly retentionMs: number;
}

/**
 * Judges whether a key without a record can ever have been run before.
 * An incarnation accepts only mint times between its start plus the margin and its present plus the margin.
 * These ranges do not overlap for successive incarnations of one endpoint,
 * so that a key is accepted by one of them at most, whatever the caller's clock shows.
 */
export const judgeKeyAge = (key: string, times: HomeTimes): KeyAge => {
    if (!validate(key) || version(key) !== 7) {
        return "not-uuid-v7";
    }
    const mintTime = readMintTime(key);
    if (mintTime > times.nowMs + keyClockMarginMs) {
        return "from-future";
    }
    if (mintTime <= times.startedAtMs + keyClockMarginMs) {
        return "before-start";
    }
    return mintTime < times.nowMs - times.retentionMs + keyClockMarginMs ? "expired" : "fresh";
};
