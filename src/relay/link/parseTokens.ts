/** Checks token queries and their answers before they are used. Another node may run another version. */
import { type TokenAnswer, type TokenQuery } from "../organisations/tokenMessages";

type Fields = Readonly<Record<string, unknown>>;

/** Highest number of tokens in one query for one organisation. */
const maxCount = 10_000;

const isRecord = (value: unknown): value is Fields => typeof value === "object" && !!value && !Array.isArray(value);

const isNumber = (value: unknown): value is number => typeof value === "number" && Number.isFinite(value);

const isPairOf = <First, Second>(
    isFirst: (value: unknown) => value is First,
    isSecond: (value: unknown) => value is Second,
) =>
(value: unknown): value is readonly [First, Second] =>
    Array.isArray(value) && value.length === 2 && isFirst(value[0]) && isSecond(value[1]);

const isCount = (value: unknown): value is number => isNumber(value) && value >= 0 && value <= maxCount;
const isName = (value: unknown): value is string => typeof value === "string";
const isFlag = (value: unknown): value is boolean => typeof value === "boolean";
const isWant = isPairOf(isName, isCount);
const isGrant = isPairOf(isCount, isNumber);

/** Parses a token query; returns undefined if one of its fields is invalid. */
export const parseTokenQuery = (value: unknown): TokenQuery | undefined => {
    if (!isRecord(value)) {
        return undefined;
    }
    const { ticketMs, incarnation, serial = 0, share, isFirst, isReclaim = false, wants } = value;
    const hasTerms = isNumber(ticketMs) && isName(incarnation) && isNumber(serial) && isNumber(share)
        && isFlag(isFirst);
    const isValid = hasTerms && isFlag(isReclaim) && Array.isArray(wants) && wants.every(isWant);
    return isValid ? { ticketMs, incarnation, serial, share, isFirst, isReclaim, wants } : undefined;
};

/** Parses the answer to a token query; returns undefined if one of its fields is invalid. */
export const parseTokenAnswer = (value: unknown): TokenAnswer | undefined => {
    if (!isRecord(value)) {
        return undefined;
    }
    const { ticketMs, incarnation, isReturned = false, grants } = value;
    const isValid = isNumber(ticketMs) && isName(incarnation) && isFlag(isReturned) && Array.isArray(grants)
        && grants.every(isGrant);
    return isValid ? { ticketMs, incarnation, isReturned, grants } : undefined;
};
