/** A node's view of the fleet with what depends on it: the ranking of the nodes, the listener and waiting queries. */
import { LRUCache } from "lru-cache";
import { comparePositions } from "../../decisions/comparePositions";
import { type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type Clock } from "../../tasks/_lib/clock";
import { type Instant } from "../../types";
import { type SourceListener } from "../source";
import { ChangeWaiters } from "./changeWaiters";
import { FleetView, type ViewCursor } from "./fleetView";
import { MissingExpiry } from "./missingExpiry";
import { PeerRanking, type RankingPlace } from "./peerRanking";
import { type TableEvidence, TableProof } from "./tableProof";
import {
    type ChangesQuery,
    type FleetBatch,
    type FleetChanges,
    type StoreReading,
    type TableAnswer,
    type TableReading,
} from "./types";

/** The platform's name as a place that changes are read from. */
export const platformPlace = "platform";

/**
 * Longest wait of a query that comes while the store can't be reached, in milliseconds. The asking node has to look for
 * changes elsewhere.
 */
const lostWaitMs = 250;
/** Longest time between two successful reads of a node that watches the store, in milliseconds. */
const maxReadAgeMs = 4_000;
/** Number of nodes whose cursors are kept; two are asked in turn. */
const maxCursors = 4;
const noCursor: ViewCursor = { viewId: "", serial: 0 };

/** Place of a node, the id of its view and its clock. */
export interface FleetStateOptions extends RankingPlace {
    /** Id of this node's view, unique over nodes and restarts. */
    readonly viewId: string;
    readonly clock: Clock;
}

/** Applies what the store and other nodes have answered, and answers the queries of other nodes. */
export class FleetState {
    readonly ranking: PeerRanking;
    readonly view: FleetView;
    readonly proof: TableProof;
    /** Whether everything has to be read from the store again. */
    mustReadAll = true;
    private isReachable: boolean | undefined;
    /** Whether the store has failed and nobody has told this node since that it is back. */
    private isOutageKnown = false;
    private isCurrent = false;
    private place = "";
    /** Monotonic time of the latest answer that was current, in milliseconds. */
    private learnedAtMs = -Infinity;
    /** Serial of the view that was published last. */
    private publishedSerial = -1;
    /** Cursors in the views of the nodes that were asked lately, by host. */
    private readonly cursors = new LRUCache<string, ViewCursor>({ max: maxCursors });
    private readonly waiters: ChangeWaiters;
    private readonly expiry: MissingExpiry;

    constructor(private readonly options: FleetStateOptions, private readonly listener: SourceListener) {
        this.proof = new TableProof(options.clock);
        this.view = new FleetView(options.viewId, options.clock.readMonotonicMs);
        this.ranking = new PeerRanking(options, options.clock.readMonotonicMs);
        this.waiters = new ChangeWaiters(options.clock);
        this.expiry = new MissingExpiry(this.view, options.clock, {
            onExpired: () => this.publishUpstreams(platformPlace),
            onFailed: error => listener.onLearningFailed("expiry", error),
        });
    }

    /** Whether the node reads the store itself, its last query succeeded and was not long ago. */
    get isReadingStore(): boolean {
        return this.isCurrent && this.learnedAgeMs <= maxReadAgeMs;
    }

    /** Sets whether the node reads the store; waiting queries are answered when that changes. */
    updateReadingStore(isReading: boolean): void {
        if (this.isCurrent !== isReading) {
            this.isCurrent = isReading;
            this.waiters.release();
        }
    }

    /** Time since the latest answer that was current, in milliseconds; Infinity before the first. */
    get learnedAgeMs(): number {
        return this.options.clock.readMonotonicMs() - this.learnedAtMs;
    }

    /** Place that the node reads changes from, as it was reported last. */
    get readingPlace(): string {
        return this.place;
    }

    /** Creates the query for the changes in the view of the node at a host that this node doesn't know yet. */
    createQuery(host: string, waitMs: number): ChangesQuery {
        return { ...this.cursors.get(host) ?? noCursor, version: this.readVersion(), waitMs };
    }

    /** Waits for changes since the cursor of another node's query. */
    async awaitChanges(query: ChangesQuery): Promise<FleetChanges> {
        const queriedAt = this.proof.readNow();
        if (query.waitMs > 0 && !this.hasChanges(query)) {
            const maxWaitMs = this.isReachable === false ? lostWaitMs : Infinity;
            await this.waiters.awaitRelease(Math.min(query.waitMs, maxWaitMs));
        }
        return {
            viewId: this.options.viewId,
            serial: this.view.serial,
            batch: this.view.listChanges(query),
            isCurrent: this.isReadingStore,
            renewalLeftMs: this.view.renewalLeftMs,
            ...this.describeTable(query.version),
            tableAgeMs: this.readFiniteAge(this.proof.readNow().monotonicMs - queriedAt.monotonicMs),
        };
    }

    /** Describes the routing table and its proof for a node whose table has the version `version`. */
    describeTable(version: number): TableAnswer {
        const table = this.listener.readTable();
        return {
            version: table?.version ?? 0,
            tableAgeMs: this.readFiniteAge(0),
            table: table && table.version > version ? table : undefined,
        };
    }

    /** Applies a routing table that was read from the store after `askedAt`; returns whether the read succeeded. */
    applyTableReading(reading: TableReading, askedAt: Instant): boolean {
        if (reading.kind !== "table") {
            return false;
        }
        const isApplied = this.tryApplyTable(reading.table, platformPlace);
        this.recordEvidence({ version: reading.table.version, askedAt, ageMs: 0 });
        return isApplied;
    }

    /** Applies what another node has answered about its table; returns false if the table could not be applied. */
    applyTableAnswer({ table, version, tableAgeMs }: TableAnswer, host: string, askedAt: Instant): boolean {
        const isApplied = this.tryApplyTable(table, host);
        this.recordEvidence({ version, askedAt, ageMs: tableAgeMs ?? Infinity });
        return isApplied;
    }

    recordEvidence(evidence: TableEvidence): void {
        this.proof.record(evidence, this.readVersion());
    }

    /** Applies a reading of the store that began at `askedAt`; returns whether it succeeded. */
    applyReading(reading: StoreReading, askedAt: Instant): boolean {
        this.reportReachability(reading);
        if (reading.kind !== "batch") {
            this.mustReadAll ||= reading.kind === "history-lost";
            return false;
        }
        reading.unreadable.forEach(({ key, detail }) => this.listener.onUnreadable(key, detail));
        const isTableApplied = this.tryApplyTable(reading.table, platformPlace);
        if (reading.batch.isFull && reading.table) {
            this.recordEvidence({ version: reading.table.version, askedAt, ageMs: 0 });
        }
        const result = this.applyBatch(reading.batch, platformPlace);
        // A table that could not be applied is read again; until then the node is not current.
        this.mustReadAll = !isTableApplied || result === "gap" || result === "outdated" && reading.batch.isFull;
        const isApplied = isTableApplied && result === "applied";
        this.recordLearning(isApplied);
        return isApplied;
    }

    /** Applies the answer of another node to a query of `askedAt`; returns false if its view is older than this node's. */
    applyChanges(changes: FleetChanges, host: string, askedAt: Instant): boolean {
        const { viewId, serial, batch, table, version = 0, tableAgeMs } = changes;
        const isTableApplied = this.applyTableAnswer({ table, version, tableAgeMs }, host, askedAt);
        if (changes.isCurrent) {
            this.isOutageKnown = false;
            this.view.adoptRenewal(changes.renewalLeftMs ?? 0);
        }
        if (!batch) {
            this.recordLearning(changes.isCurrent && isTableApplied);
            return isTableApplied;
        }
        const { position: previous } = this.view;
        const result = this.applyBatch(batch, host);
        if (result !== "applied") {
            if (result === "gap") {
                this.cursors.delete(host);
            }
            return false;
        }
        this.cursors.set(host, { viewId, serial });
        this.recordLearning(changes.isCurrent && isTableApplied);
        // A watch can continue from a newer position; from the same one it would fail again.
        this.mustReadAll &&= previous !== undefined && comparePositions(batch.position, previous) <= 0;
        return isTableApplied;
    }

    /** Takes over the ranking from the records of another node while the node knows no other. */
    receivePeers(records: readonly UpstreamRecord[]): void {
        if (!this.ranking.hasPeers) {
            this.ranking.update(records);
        }
    }

    /** Reports from which place the node reads, if that has changed. */
    reportPlace(place: string, reason: string): void {
        if (this.place !== place) {
            this.place = place;
            this.listener.onReadingFrom(place, reason);
        }
    }

    /** Answers all waiting queries. */
    releaseWaiters(): void {
        this.waiters.release();
    }

    private applyBatch(batch: FleetBatch, from: string): ReturnType<FleetView["apply"]> {
        const { position: previous } = this.view;
        const result = this.view.apply(batch);
        const { position } = this.view;
        if (position && previous && position.era !== previous.era) {
            this.listener.onEra(position.era, position.revision);
        }
        if (position && this.publishedSerial !== this.view.serial) {
            this.publishUpstreams(from);
        }
        this.expiry.begin();
        return result;
    }

    private recordLearning(isCurrent: boolean): void {
        this.learnedAtMs = isCurrent ? this.options.clock.readMonotonicMs() : this.learnedAtMs;
    }

    /** Applies a table unless it is old; returns false if that fails, so that the upstreams that came with it still hold. */
    private tryApplyTable(table: RoutingTable | undefined, from: string): boolean {
        if (!table || table.version <= this.readVersion()) {
            return true;
        }
        try {
            this.listener.onRouting(table, from);
        }
        catch (error) {
            this.listener.onLearningFailed("routing", error as Error);
            return false;
        }
        this.waiters.release();
        return true;
    }

    private publishUpstreams(place: string): void {
        const { serial, position } = this.view;
        const records = this.view.list();
        this.ranking.update(records);
        this.waiters.release();
        this.listener.onUpstreams(records, { place, position });
        this.publishedSerial = serial;
    }

    /** Whether a query can be answered at once. */
    private hasChanges({ viewId, serial, version }: ChangesQuery): boolean {
        const isViewKnown = viewId === this.options.viewId && serial === this.view.serial;
        return this.isReadingStore && (!isViewKnown || this.readVersion() > version);
    }

    /** Returns the age of the proof less `heldMs`, in milliseconds; undefined without a proof, since JSON has no Infinity. */
    private readFiniteAge(heldMs: number): number | undefined {
        const ageMs = this.proof.readAgeMs() - heldMs;
        return Number.isFinite(ageMs) ? ageMs : undefined;
    }

    private readVersion(): number {
        return this.listener.readTable()?.version ?? 0;
    }

    private reportReachability(reading: StoreReading): void {
        const isReachable = reading.kind !== "failed";
        if (isReachable && this.isOutageKnown) {
            this.view.beginRenewal();
        }
        this.isOutageKnown = !isReachable;
        if (isReachable !== this.isReachable) {
            this.isReachable = isReachable;
            this.listener.onReachability(isReachable, reading.kind === "failed" ? reading.detail : "");
        }
    }
}
