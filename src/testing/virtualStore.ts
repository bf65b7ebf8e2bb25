/** Store of the platform on a virtual clock, for tests of nodes that read it. */
import { type FleetBatch, type StoreReader, type StoreReading } from "../relay/fleet/types";
import { type Organisation, type RoutingTable, type StorePosition, type UpstreamRecord } from "../routing/types";
import { awaitDelay } from "../tasks/_lib/clock";
import { createRoutingTable } from "./createRoute";
import { type VirtualClock } from "./virtualClock";

interface StoreEvent {
    readonly revision: number;
    readonly id: string;
    readonly record: UpstreamRecord | undefined;
}

interface StoreContents {
    readonly records: ReadonlyMap<string, UpstreamRecord>;
    readonly version: number;
    readonly revision: number;
}

const answerMs = 4;
const pollMs = 20;
/** Timeouts of readers, in milliseconds. */
const answerTimeoutMs = 800;
const pingTimeoutMs = 500;

/** Holds records and a routing version; can turn readers away, and can return to an older copy of itself. */
export class VirtualStore {
    /** Number of calls that were not allowed to be stale. */
    callCount = 0;
    staleCallCount = 0;
    /** Whether the store turns a reader away; `isStale` tells whether the call may be answered from an old copy. */
    isTurnedAway: (reader: string, isStale: boolean) => boolean = () => false;
    /** Whether a reader is cut off from the store, so that neither calls nor answers arrive. */
    isCut: (reader: string) => boolean = () => false;
    /** Organisations of the routing table; undefined if requests carry no keys. */
    organisations: readonly Organisation[] | undefined;
    private records = new Map<string, UpstreamRecord>();
    private version = 1;
    private revision = 1;
    private era = 1;
    private events: StoreEvent[] = [];
    private copy: StoreContents = { records: new Map(), version: 1, revision: 1 };

    constructor(private readonly clock: VirtualClock) {}

    write(record: UpstreamRecord): void {
        this.records.set(record.id, record);
        this.addEvent(record.id, record);
    }

    remove(id: string): void {
        this.records.delete(id);
        this.addEvent(id, undefined);
    }

    /** Publishes the next routing version. */
    publishVersion(version: number): void {
        this.version = version;
        this.addEvent("", undefined);
    }

    recordCopy(): void {
        this.copy = { records: new Map(this.records), version: this.version, revision: this.revision };
    }

    /** Returns to the copy; the revisions after it are given out again. */
    adoptCopy(): void {
        this.records = new Map(this.copy.records);
        this.version = this.copy.version;
        this.revision = this.copy.revision;
        this.events = [];
        this.era += 1;
    }

    createReader(name: string): StoreReader {
        return {
            readAll: async ({ allowStale }) => {
                this.countCall(allowStale);
                if (!await this.awaitAnswer(name)) {
                    return createFailure();
                }
                return this.isTurnedAway(name, false) ? createFailure() : this.createReading(this.createFullBatch());
            },
            watch: async (position, waitMs, signal) => {
                this.countCall(false);
                if (!await this.awaitAnswer(name)) {
                    return createFailure();
                }
                return this.serveWatch(name, position, this.clock.readMonotonicMs() + waitMs, signal);
            },
            ping: async () => {
                this.countCall(true);
                return await this.awaitAnswer(name, pingTimeoutMs) && !this.isTurnedAway(name, true);
            },
            readPosition: async () => {
                this.countCall(true);
                return await this.awaitAnswer(name) && !this.isTurnedAway(name, true) ? this.position : undefined;
            },
            readTable: async () => {
                this.countCall(false);
                return !await this.awaitAnswer(name) || this.isTurnedAway(name, false)
                    ? { kind: "failed", detail: "turned away" }
                    : { kind: "table", table: this.createTable() };
            },
            close: () => undefined,
        };
    }

    /** Waits for an answer; returns false if the reader is cut off, when its timeout is over. */
    private async awaitAnswer(name: string, timeoutMs = answerTimeoutMs): Promise<boolean> {
        await awaitDelay(this.clock, this.isCut(name) ? timeoutMs : answerMs);
        return !this.isCut(name);
    }

    private async serveWatch(
        name: string,
        position: StorePosition,
        untilMs: number,
        signal?: AbortSignal,
    ): Promise<StoreReading> {
        let isLost = false;
        for (;;) {
            isLost ||= this.isCut(name);
            const isOverdue = isLost && this.clock.readMonotonicMs() >= untilMs + answerTimeoutMs;
            if (signal?.aborted || isOverdue || !isLost && this.isTurnedAway(name, false)) {
                return createFailure();
            }
            if (isLost) {
                await awaitDelay(this.clock, pollMs);
                continue;
            }
            if (position.era !== this.era) {
                return { kind: "history-lost" };
            }
            const events = this.events.filter(({ revision }) => revision > position.revision);
            if (events.length > 0 || this.clock.readMonotonicMs() >= untilMs) {
                return this.createReading(this.createChangeBatch(events));
            }
            await awaitDelay(this.clock, pollMs);
        }
    }

    private createFullBatch(): FleetBatch {
        return { position: this.position, isFull: true, records: [...this.records.values()], removedIds: [], gone: [] };
    }

    private createChangeBatch(events: readonly StoreEvent[]): FleetBatch {
        const ids = [...new Set(events.map(({ id }) => id))].filter(id => id !== "");
        return {
            position: this.position,
            isFull: false,
            records: ids.flatMap(id => this.records.get(id) ?? []),
            removedIds: ids.filter(id => !this.records.has(id)),
            gone: [],
        };
    }

    private createReading(batch: FleetBatch): StoreReading {
        return { kind: "batch", batch, table: this.createTable(), unreadable: [] };
    }

    private createTable(): RoutingTable {
        return createRoutingTable(this.version, [], this.organisations);
    }

    private get position(): StorePosition {
        return { era: this.era, revision: this.revision };
    }

    private addEvent(id: string, record: UpstreamRecord | undefined): void {
        this.revision += 1;
        this.events.push({ revision: this.revision, id, record });
    }

    private countCall(isStale: boolean): void {
        this.callCount += isStale ? 0 : 1;
        this.staleCallCount += isStale ? 1 : 0;
    }
}

const createFailure = (): StoreReading => ({ kind: "failed", detail: "turned away" });
