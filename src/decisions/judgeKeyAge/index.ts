import { validate, version } from "uuid";
import { keyClockMarginMs } from "../../constants";

/** Age of an idempotency key without a record at its home; only a fresh key is accepted. */
export type KeyAge = "fresh" | "before-start" | "from-future" | "expired" | "not-uuid-v7";

const timestampHexDigits = 12;

/** Reads the timestamp of a version 7 UUID, in milliseconds since 1970. */
const readTimestampMs = (key: string): number =>
    Number.parseInt(key.replaceAll("-", "").slice(0, timestampHexDigits), 16);

/** Start and current time of a key's home, in milliseconds since 1970 by its own clock, and its retention time. */
export interface HomeTimes {
    /** Start of the current incarnation of the home. */
    readonly startedAtMs: number;
    readonly nowMs: number;
    /** Time from the end of a request to the removal of its record, in milliseconds. */
    readonly retentionMs: number;
}

/**
 * Judges whether a request may already have run under a key that has no record. A key is fresh only if its timestamp
 * lies between the start of the incarnation and the current time, with `keyClockMarginMs` added to both. These ranges
 * do not overlap for successive incarnations of one endpoint, so at most one of them accepts a key, whatever the
 * caller's clock shows. A key is expired if it is so old that its record may have been removed.
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
