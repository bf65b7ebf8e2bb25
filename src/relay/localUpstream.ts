/** What the node knows of the upstream beside it, from the list of upstreams and from its answers. */
import { type UpstreamRecord } from "../routing/types";
import { AnnouncementReader } from "./announcements";
import { type EventLog } from "./log";
import { type SlotQueue } from "./slotQueue";
import { type HeaderNames } from "./types";
import { UpstreamLeaving } from "./upstreamLeaving";

/** Time without a named limit after which an answer without one ends it, in milliseconds. Answers may overtake others. */
const limitEndMs = 1_000;
/**
 * Slots used before the upstream's first answer, which shows its limit. A node that has restarted doesn't know the limit
 * that the upstream has named before.
 */
const unprovenSlots = 8;

/** Components that follow what is known of the upstream. */
export interface LocalUpstreamDependencies {
    readonly headerNames: HeaderNames;
    readonly slots: SlotQueue;
    readonly log: EventLog;
    readonly readNowMs: () => number;
}

/** Passes the slots and the rate limit of the upstream on to the slot queue, and knows whether it is leaving. */
export class LocalUpstream {
    readonly leaving: UpstreamLeaving;
    private readonly announcements: AnnouncementReader;
    private record: UpstreamRecord | undefined;
    private hasAnswered = false;
    private limitNamedAtMs = -Infinity;

    constructor(private readonly dependencies: LocalUpstreamDependencies) {
        this.leaving = new UpstreamLeaving(dependencies.readNowMs);
        this.announcements = new AnnouncementReader(dependencies.headerNames, dependencies.log);
    }

    /** Takes in the upstream's record in the latest list; undefined if it isn't listed. */
    update(record: UpstreamRecord | undefined): void {
        const { record: known } = this;
        if (record && known && (record.id !== known.id || record.bornAtMs !== known.bornAtMs)) {
            this.hasAnswered = false;
            this.limitNamedAtMs = -Infinity;
            this.dependencies.slots.updateRate(undefined);
            this.leaving.beginIncarnation();
        }
        this.record = record ?? known;
        this.updateSlots();
        this.leaving.update(record?.state);
    }

    /** Takes in the headers of an answer. */
    observeAnswer(rawHeaders: readonly string[]): void {
        if (!this.hasAnswered) {
            this.hasAnswered = true;
            this.updateSlots();
        }
        const { slots, readNowMs } = this.dependencies;
        const { ratePerSecond, isLeaving } = this.announcements.read(rawHeaders);
        if (isLeaving) {
            this.leaving.recordAnnouncement();
        }
        if (ratePerSecond !== undefined) {
            this.limitNamedAtMs = readNowMs();
            slots.updateRate(ratePerSecond);
        }
        else if (readNowMs() - this.limitNamedAtMs > limitEndMs) {
            slots.updateRate(undefined);
        }
    }

    private updateSlots(): void {
        const slots = this.record?.slots;
        const usable = slots === undefined || this.hasAnswered ? slots : Math.min(slots, unprovenSlots);
        this.dependencies.slots.updateSlots(usable);
    }
}
