/** Interface of a source of routing tables and upstream records. */
import { type RoutingTable, type UpstreamRecord } from "../routing/types";
import { type TableEvidence } from "./fleet/tableProof";
import { type ChangesQuery, type FleetChanges, type ListOrigin, type TableAnswer } from "./fleet/types";

/** Receives the tables and records that a source reads, and its errors. */
export interface SourceListener {
    /** Called with a table and the host of the node that sent it, or "platform". */
    readonly onRouting: (table: RoutingTable, from: string) => void;
    /** Called with all records whenever one has changed, and with the origin of the change. */
    readonly onUpstreams: (records: readonly UpstreamRecord[], origin: ListOrigin) => void;
    /** Called when the source becomes reachable or unreachable; `detail` is for the log. */
    readonly onReachability: (isReachable: boolean, detail: string) => void;
    /** Called with the key of an entry that can't be parsed, and with the cause. */
    readonly onUnreadable: (key: string, detail: string) => void;
    /** Called when the node reads changes from another place: a node's host, or "platform". */
    readonly onReadingFrom: (place: string, reason: string) => void;
    /** Called when the store has been restored from an older copy. */
    readonly onEra: (era: number, revision: number) => void;
    /** Called when a task that learns changes has failed by an exception or didn't end; `task` is its name. */
    readonly onLearningFailed: (task: string, error: Error) => void;
    /** Returns the routing table that the node applies. */
    readonly readTable: () => RoutingTable | undefined;
}

/** Reads routing tables and upstream records, reports each change to its listener, and passes changes on. */
export interface FleetSource {
    start(listener: SourceListener): void;
    stop(): void;
    /** Waits for changes since the cursor of another node's query. */
    awaitChanges(query: ChangesQuery): Promise<FleetChanges>;
    /** Answers another node that asks for the routing table and its proof. */
    describeTable(version: number): TableAnswer;
    /** Returns the longest time for which the routing table may have been outdated, in ms; Infinity if unknown. */
    readTableAgeMs(): number;
    /** Whether a task that learns changes fails again and again, so that the node should get no requests. */
    isFailing(): boolean;
    /** Returns the time since the node last heard from the store or from a node that watches it, in ms; Infinity if never. */
    readLearnedAgeMs(): number;
    /** Takes in what another node has said of the newest routing table. */
    recordTableEvidence(evidence: TableEvidence): void;
    /** Takes in records that another node has sent, to find nodes to ask. */
    receivePeers(records: readonly UpstreamRecord[]): void;
}
