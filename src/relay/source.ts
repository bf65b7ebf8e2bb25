/** Where routing tables and upstream records come from. */
import { type RoutingTable, type UpstreamRecord } from "../routing/types";

/** Told what a source has read. */
export interface SourceListener {
    readonly onRouting: (table: RoutingTable) => void;
    /** Gets all records, each time one has changed. */
    readonly onUpstreams: (records: readonly UpstreamRecord[]) => void;
    readonly onReachability: (reached: boolean, detail: string) => void;
    /** Told of an entry that can't be used. */
    readonly onUnreadable: (key: string, detail: string) => void;
}

/** A place that publishes routing tables and upstream records; it is only read. */
export interface FleetSource {
    start(listener: SourceListener): void;
    stop(): void;
}
