/** Interface of the sources of routing tables and upstream records. */
import { type RoutingTable, type UpstreamRecord } from "../routing/types";

/** Receives what a source has read. */
export interface SourceListener {
    readonly onRouting: (table: RoutingTable) => void;
    /** Called with all records whenever one has changed. */
    readonly onUpstreams: (records: readonly UpstreamRecord[]) => void;
    /** Called when the source becomes reachable or unreachable. */
    readonly onReachability: (isReachable: boolean, detail: string) => void;
    /** Called with the key of an entry that can't be parsed, and the reason. */
    readonly onUnreadable: (key: string, detail: string) => void;
}

/** A read-only source of routing tables and upstream records. */
export interface FleetSource {
    start(listener: SourceListener): void;
    stop(): void;
}
