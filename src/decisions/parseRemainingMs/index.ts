import { maxDeadlineMs } from "../../constants";

const digits = /^\d{1,9}$/u;

/**
 * Parses the time until a deadline, in milliseconds; returns undefined for anything but a whole number from 0 to
 * `maxDeadlineMs`.
 */
export const parseRemainingMs = (text: string | undefined): number | undefined => {
    if (text === undefined || !digits.test(text)) {
        return undefined;
    }
    const remainingMs = Number(text);
    return remainingMs <= maxDeadlineMs ? remainingMs : undefined;
};
