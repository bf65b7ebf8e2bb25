import { validate, version } from "uuid";
import { keyClockMarginMs } from "../../constants";

/** Age of an idempotency key of which the home has no record; only a fresh key is accepted. */
export type KeyAge = "fresh" | "before-start" | "from-future" | "expired" | "not-uuid-v7";

const timestampHexDigits = 12;

/** Reads the timestamp of a version 7 UUID, in milliseconds since 1970. */
const readTimestampMs = (key: string): number =>
    Number.parseInt(key.replaceAll("-", "").slice(0, timestampHexDigits), 16);

/** Times of the home, in milliseconds since 1970 by its own clock. */
export interface HomeTimes {
    /** Start of the incarnation. */
    readonly startedAtMs: number;
    readonly nowMs: number;
    /** Time for which records are kept after their request has ended, in milliseconds. */
    readonly retentionMs: number;
}

/**
 * Judges whether a request may have run before under a key without a record. An incarnation accepts only timestamps
 * between its start plus the margin and its present time plus the margin. These ranges do not overlap for successive
 * incarnations of one endpoint, so at most one of them accepts a key, whatever the caller's clock shows.
 */
export const judgeKeyAge = (key: string, times: HomeTimes): KeyAge => {
    if (!validate(key) || version(key) !== 7) {
        return "not-uuid-v7";
    }
    const timestampMs = readTimestampMs(key);
    if (timestampMs > times.nowMs + keyClockMarginMs) {
        return "from-future";
    }
    if (timestampMs <= times.startedAtMs + keyClockMarginMs) {
        return "before-start";
    }
    return timestampMs < times.nowMs - times.retentionMs + keyClockMarginMs ? "expired" : "fresh";
};
