/** Checks token queries and their answers before they are used. Another node may run another version. */
import { type TokenAnswer, type TokenQuery } from "../organisations/quotaTokens";

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
const isWant = isPairOf(isName, isCount);
const isGrant = isPairOf(isCount, isNumber);

/** Parses a token query; returns undefined if one of its fields is invalid. */
export const parseTokenQuery = (value: unknown): TokenQuery | undefined => {
    if (!isRecord(value)) {
        return undefined;
    }
    const { ticketMs, incarnation, share, isFirst, wants } = value;
    const isValid = isNumber(ticketMs) && isName(incarnation) && isNumber(share) && typeof isFirst === "boolean"
        && Array.isArray(wants) && wants.every(isWant);
    return isValid ? { ticketMs, incarnation, share, isFirst, wants } : undefined;
};

/** Parses the answer to a token query; returns undefined if one of its fields is invalid. */
export const parseTokenAnswer = (value: unknown): TokenAnswer | undefined => {
    if (!isRecord(value)) {
        return undefined;
    }
    const { ticketMs, incarnation, grants } = value;
    const isValid = isNumber(ticketMs) && isName(incarnation) && Array.isArray(grants) && grants.every(isGrant);
    return isValid ? { ticketMs, incarnation, grants } : undefined;
};
