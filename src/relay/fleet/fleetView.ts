/** What a node knows of the upstreams, and since when in the history of the store. */
import { isDeepStrictEqual } from "node:util";
import { comparePositions } from "../../decisions/comparePositions";
import { isOutdatedRecord } from "../../decisions/isOutdatedRecord";
import { type GoneRecord, type StorePosition, type UpstreamRecord } from "../../routing/types";
import { type FleetBatch } from "./types";

/** Maximum number of removed upstreams that are remembered. */
const maxGoneRecords = 4_096;
/**
 * Time that upstreams get to write their entries again after an outage of the store or after its return from an older
 * copy, in milliseconds.
 */
const renewalGraceMs = 2_200;

/** Result of applying a batch. */
export type ApplyResult =
    | "applied"
    /** The batch is older than the view. */
    | "outdated"
    /** The batch lists only changes, but follows on another era or on nothing. */
    | "gap";

/** Position in the changes of one view, as another node keeps it. */
export interface ViewCursor {
    readonly viewId: string;
    readonly serial: number;
}

/** Applies batches in the order of their positions, and lists the changes since a cursor. */
export class FleetView {
    private readonly records = new Map<string, UpstreamRecord>();
    private readonly gone = new Map<string, GoneRecord>();
    /** Serial of the last change of each present or remembered upstream. */
    private readonly serials = new Map<string, number>();
    /** Monotonic times at which missing upstreams will be removed, in milliseconds. */
    private readonly removalTimes = new Map<string, number>();
    private currentPosition: StorePosition | undefined;
    private currentSerial = 0;
    /** Highest serial of a removed upstream that has been forgotten. */
    private forgottenSerial = 0;
    private renewalEndsAtMs = -Infinity;
    /** Upstreams that have written their entries since the last time to renew them began; their removal is final. */
    private readonly renewedIds = new Set<string>();
    /** Whether the next batch is the first since an outage, and may list entries from before it. */
    private isNextBatchOld = false;

    constructor(private readonly id: string, private readonly readNowMs: () => number) {}

    get position(): StorePosition | undefined {
        return this.currentPosition;
    }

    get serial(): number {
        return this.currentSerial;
    }

    /** Whether upstreams are missing that still have time to renew their entries. */
    get hasMissing(): boolean {
        return this.removalTimes.size > 0;
    }

    list(): readonly UpstreamRecord[] {
        return [...this.records.values()];
    }

    /** Time in which missing upstreams are still kept, in milliseconds. */
    get renewalLeftMs(): number {
        return Math.max(0, this.renewalEndsAtMs - this.readNowMs());
    }

    /** Begins the time in which missing upstreams are kept, since they may not have been able to renew their entries. */
    beginRenewal(): void {
        this.renewalEndsAtMs = this.readNowMs() + renewalGraceMs;
        this.expireRenewedIds();
    }

    /** Takes over the time to renew entries from a node that knows better when the store has come back. */
    adoptRenewal(leftMs: number): void {
        if (this.renewalLeftMs === 0 && leftMs > 0) {
            this.expireRenewedIds();
        }
        this.renewalEndsAtMs = this.readNowMs() + Math.min(renewalGraceMs, leftMs);
        this.removalTimes.forEach((atMs, id) => this.removalTimes.set(id, Math.min(atMs, this.renewalEndsAtMs)));
    }

    /** Applies a batch unless it is older than the view or doesn't follow on it. */
    apply(batch: FleetBatch): ApplyResult {
        const known = this.currentPosition;
        if (known && comparePositions(batch.position, known) < 0) {
            return "outdated";
        }
        if (!batch.isFull && known?.era !== batch.position.era) {
            return "gap";
        }
        const isRestored = known === undefined || known.era < batch.position.era;
        if (known && isRestored) {
            this.beginRenewal();
        }
        this.currentPosition = batch.position;
        const mayRenew = !this.isNextBatchOld && !batch.isFull;
        this.isNextBatchOld = false;
        batch.gone.forEach(gone => this.recordGone(gone));
        batch.records.forEach(record => {
            this.applyRecord(record, batch.isFull);
            if (mayRenew) {
                this.renewedIds.add(record.id);
            }
        });
        if (batch.isFull) {
            const listedIds = new Set(batch.records.map(({ id }) => id));
            [...this.records.keys()].filter(id => !listedIds.has(id)).forEach(id => this.removeMissing(id));
        }
        batch.removedIds.forEach(id => this.removeMissing(id));
        return "applied";
    }

    /** Removes the upstreams whose time to renew their entries is over; returns whether there were any. */
    expireMissing(): boolean {
        const nowMs = this.readNowMs();
        const dueIds = [...this.removalTimes].filter(([, atMs]) => atMs <= nowMs).map(([id]) => id);
        dueIds.forEach(id => this.remove(id));
        return dueIds.length > 0;
    }

    /** Lists the changes since a cursor, or everything if the cursor belongs to another view or is too old. */
    listChanges(cursor: ViewCursor): FleetBatch | undefined {
        if (!this.currentPosition) {
            return undefined;
        }
        const isFull = cursor.viewId !== this.id || cursor.serial < this.forgottenSerial
            || cursor.serial > this.currentSerial;
        const isChanged = ({ id }: { readonly id: string; }): boolean =>
            isFull || this.serials.get(id)! > cursor.serial;
        const gone = [...this.gone.values()].filter(isChanged);
        return {
            position: this.currentPosition,
            isFull,
            records: this.list().filter(isChanged),
            removedIds: gone.map(({ id }) => id),
            gone,
        };
    }

    private expireRenewedIds(): void {
        this.renewedIds.clear();
        this.isNextBatchOld = true;
    }

    private applyRecord(record: UpstreamRecord, isFull: boolean): void {
        const { id } = record;
        if (isFull && (this.isGone(record) || this.isOutdated(record))) {
            return;
        }
        this.removalTimes.delete(id);
        if (record.state !== "missing" && isDeepStrictEqual(this.records.get(id), record)) {
            return;
        }
        if (record.state === "missing") {
            this.removalTimes.set(id, this.readNowMs() + renewalGraceMs);
        }
        this.gone.delete(id);
        this.records.set(id, record);
        this.recordChange(id);
    }

    /** Whether an upstream has been removed since it wrote a record; a copy of the store may still list it. */
    private isGone(record: UpstreamRecord): boolean {
        const gone = this.gone.get(record.id);
        return gone !== undefined && !isOutdatedRecord(gone, record);
    }

    /** Whether an upstream has written another record since; a copy of the store may list the older one. */
    private isOutdated(record: UpstreamRecord): boolean {
        const known = this.records.get(record.id);
        return known !== undefined && isOutdatedRecord(record, known);
    }

    /**
     * Removes an upstream that is no longer listed, unless it still has time to renew its entry. Until then it is
     * missing: whether its entry has lapsed or the upstream has left can't be told.
     */
    private removeMissing(id: string): void {
        const record = this.records.get(id);
        if (!record) {
            return;
        }
        if (this.readNowMs() >= this.renewalEndsAtMs || this.renewedIds.has(id)) {
            this.remove(id);
            return;
        }
        this.removalTimes.set(id, this.renewalEndsAtMs);
        if (record.state === "ready") {
            this.records.set(id, { ...record, state: "missing" });
            this.recordChange(id);
        }
    }

    private remove(id: string): void {
        const { bornAtMs, sequence } = this.records.get(id)!;
        this.removalTimes.delete(id);
        this.renewedIds.delete(id);
        this.records.delete(id);
        this.gone.set(id, { id, bornAtMs, sequence });
        this.recordChange(id);
        this.removeOldestGone();
    }

    private recordGone(gone: GoneRecord): void {
        const known = this.gone.get(gone.id) ?? this.records.get(gone.id);
        const isKnown = isDeepStrictEqual(known, gone);
        if (isKnown || known && (this.records.has(gone.id) || isOutdatedRecord(gone, known))) {
            return;
        }
        this.gone.set(gone.id, gone);
        this.recordChange(gone.id);
        this.removeOldestGone();
    }

    private recordChange(id: string): void {
        this.currentSerial += 1;
        this.serials.set(id, this.currentSerial);
    }

    private removeOldestGone(): void {
        const [oldestId] = this.gone.keys();
        if (this.gone.size <= maxGoneRecords || oldestId === undefined) {
            return;
        }
        this.forgottenSerial = Math.max(this.forgottenSerial, this.serials.get(oldestId)!);
        this.gone.delete(oldestId);
        this.serials.delete(oldestId);
    }
}
