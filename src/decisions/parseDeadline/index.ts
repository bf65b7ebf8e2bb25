import { maxDeadlineMs } from "../../constants";

const digits = /^\d{1,9}$/u;

/** Parses a remaining deadline in milliseconds; anything else than a whole number in bounds is `undefined`. */
export const parseDeadline = (text: string | undefined): number | undefined => {
    if (text === undefined || !digits.test(text)) {
        return undefined;
    }
    const value = Number(text);
    return value <= maxDeadlineMs ? value : undefined;
};
