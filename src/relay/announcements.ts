/** Reads what the local upstream says of itself in its answers. */
import { findHeader } from "../tasks/_lib/headers";
import { type EventLog } from "./log";
import { type HeaderNames } from "./types";

/** What an upstream says of itself. */
export interface Announcements {
    /** Requests a second that the upstream takes from all nodes together; undefined without a limit. */
    readonly ratePerSecond: number | undefined;
    readonly isLeaving: boolean;
}

/** Value of the header by which an upstream says that it is leaving. */
export const leavingValue = "1";
const decimalPattern = /^\d{1,9}(\.\d{1,9})?$/u;
const nothingAnnounced: Announcements = { ratePerSecond: undefined, isLeaving: false };

/** Parses a rate limit; returns undefined if it isn't a decimal number. */
export const parseRateLimit = (text: string): number | undefined => {
    const trimmed = text.trim();
    return decimalPattern.test(trimmed) ? Number(trimmed) : undefined;
};

/** Keeps what the answers of the current incarnation have said last, and logs each change. */
export class AnnouncementReader {
    private current = nothingAnnounced;

    constructor(private readonly headerNames: HeaderNames, private readonly log: EventLog) {}

    /** Reads the headers of an answer. */
    read(rawHeaders: readonly string[]): Announcements {
        const limitText = findHeader(rawHeaders, this.headerNames.rateLimit);
        const ratePerSecond = limitText === undefined ? undefined : parseRateLimit(limitText);
        if (limitText !== undefined && ratePerSecond === undefined) {
            this.log.write("limit-unreadable", { header: this.headerNames.rateLimit, value: limitText.slice(0, 40) });
        }
        const isLeaving = findHeader(rawHeaders, this.headerNames.upstreamLeaving) === leavingValue;
        if (ratePerSecond !== this.current.ratePerSecond || isLeaving !== this.current.isLeaving) {
            this.log.writeState("upstream-announces", { ratePerSecond, leaving: isLeaving });
        }
        this.current = { ratePerSecond, isLeaving };
        return this.current;
    }
}
