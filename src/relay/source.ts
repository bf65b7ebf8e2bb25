/** Interface of a source of routing tables and upstream records, such as the platform. */
import { type RoutingTable, type UpstreamRecord } from "../routing/types";

/** Receives the tables and records that a source reads, and its errors. */
export interface SourceListener {
    readonly onRouting: (table: RoutingTable) => void;
    /** Called with all records whenever one has changed. */
    readonly onUpstreams: (records: readonly UpstreamRecord[]) => void;
    /** Called when the source becomes reachable or unreachable; `detail` is for the log. */
    readonly onReachability: (isReachable: boolean, detail: string) => void;
    /** Called with the key of an entry that can't be parsed, and with the cause. */
    readonly onUnreadable: (key: string, detail: string) => void;
}

/** Reads routing tables and upstream records and reports each change to its listener. */
export interface FleetSource {
    start(listener: SourceListener): void;
    stop(): void;
}
