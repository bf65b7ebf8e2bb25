/** Types of what a node knows of the fleet, and of the ways in which it learns changes. */
import { type GoneRecord, type RoutingTable, type StorePosition, type UpstreamRecord } from "../../routing/types";
import { type Clock } from "../../tasks/_lib/clock";

/** Records that were read together; a batch that isn't full lists only what has changed before its position. */
export interface FleetBatch {
    readonly position: StorePosition;
    /** Whether `records` lists all records, so that all others have been removed. */
    readonly isFull: boolean;
    readonly records: readonly UpstreamRecord[];
    readonly removedIds: readonly string[];
    /** Upstreams that were removed lately, for a node that doesn't know them. */
    readonly gone: readonly GoneRecord[];
}

/** Where a list of upstreams comes from, for the log. */
export interface ListOrigin {
    /** A node's host, or "platform". */
    readonly place: string;
    readonly position: StorePosition | undefined;
}

/** An entry of the store that can't be parsed; it names no upstream. */
export interface UnreadableEntry {
    readonly key: string;
    readonly detail: string;
}

/** Result of reading the store. */
export type StoreReading =
    | {
        readonly kind: "batch";
        readonly batch: FleetBatch;
        readonly table: RoutingTable | undefined;
        readonly unreadable: readonly UnreadableEntry[];
    }
    /** The store can't continue from the given position; everything has to be read again. */
    | { readonly kind: "history-lost"; }
    | { readonly kind: "failed"; readonly detail: string; };

/** Result of reading the routing table alone. */
export type TableReading =
    | { readonly kind: "table"; readonly table: RoutingTable; }
    | { readonly kind: "failed"; readonly detail: string; };

/** Reads the store of the platform. Its queries never reject. */
export interface StoreReader {
    /** Reads everything. With `allowStale` the result may be seconds old, and is cheap for the store. */
    readAll(options: { readonly allowStale: boolean; }): Promise<StoreReading>;
    /** Waits up to `waitMs` milliseconds for changes since a position; fails once `signal` is aborted. */
    watch(position: StorePosition, waitMs: number, signal?: AbortSignal): Promise<StoreReading>;
    /** Checks whether the store answers; cheap for the store. */
    ping(): Promise<boolean>;
    /** Reads a position that the store has reached, though perhaps seconds ago; undefined if it doesn't answer. Cheap for the store. */
    readPosition(): Promise<StorePosition | undefined>;
    /** Reads the routing table that was the newest at the time of the call or later. */
    readTable(): Promise<TableReading>;
    close(): void;
}

/** Asks a node for the changes since a cursor. */
export interface ChangesQuery {
    /** View that `serial` belongs to; "" for a node that has none yet. */
    readonly viewId: string;
    readonly serial: number;
    /** Version of the asking node's routing table, 0 if it has none. */
    readonly version: number;
    /** Longest time to wait for a change, in milliseconds. */
    readonly waitMs: number;
}

/** Changes of a node's fleet view since the cursor of a query. */
export interface FleetChanges {
    readonly viewId: string;
    readonly serial: number;
    /** Undefined if the node has not read the store yet. */
    readonly batch: FleetBatch | undefined;
    /** Routing table, if its version is higher than the asking node's. */
    readonly table: RoutingTable | undefined;
    /** Whether the node watches the store and its last query succeeded. */
    readonly isCurrent: boolean;
    /** Time that upstreams still have to renew their entries after an outage of the store, in milliseconds. */
    readonly renewalLeftMs?: number;
    /** Age of the node's proof of its table, less the time for which it held the query, in ms; undefined without one. */
    readonly tableAgeMs?: number | undefined;
    /** Version of the node's routing table, 0 if it has none. */
    readonly version?: number;
}

/** What a node answers about its routing table. */
export interface TableAnswer {
    readonly version: number;
    /** Age of the node's proof, in milliseconds; undefined without one. */
    readonly tableAgeMs: number | undefined;
    /** The table, if its version is higher than the asking node's. */
    readonly table: RoutingTable | undefined;
}

/** Means by which a node learns: the store, other nodes, and its sources of time and chance. */
export interface LearningMeans {
    readonly reader: StoreReader;
    readonly client: ChangesClient;
    readonly clock: Clock;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Asks other nodes for changes; resolves to undefined if a node doesn't answer in time. */
export interface ChangesClient {
    queryChanges(host: string, query: ChangesQuery): Promise<FleetChanges | undefined>;
    /** Asks a node for its routing table if that is newer than `version`, and for its proof. */
    queryTable(host: string, version: number): Promise<TableAnswer | undefined>;
    close(): void;
}
