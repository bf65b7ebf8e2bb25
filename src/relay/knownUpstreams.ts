import { type UpstreamRecord } from "../routing/types";
import { type Address } from "../types";
import { type RetryBudgets } from "./_lib/retryBudgets";
import { type ListOrigin } from "./fleet/types";
import { type LocalUpstream } from "./localUpstream";
import { type EventLog } from "./log";
import { type Organisations } from "./organisations";
import { type UpstreamDirectory } from "./upstreamDirectory";
import { createListOrigin, UpstreamListLog } from "./upstreamListLog";

/** Components that depend on the list of upstreams. */
export interface KnownUpstreamsDependencies {
    readonly directory: UpstreamDirectory;
    readonly retryBudgets: RetryBudgets;
    readonly localUpstream: LocalUpstream;
    readonly organisations: Organisations;
    readonly log: EventLog;
    /** Returns the address of the upstream beside this node. */
    readonly readOwnAddress: () => Address;
}

/** Passes each new list of upstreams to the components that depend on it, and logs its changes. */
export class KnownUpstreams {
    /** Whether the source of this node has listed upstreams. */
    private hasSourceRecords = false;
    private readonly listLog: UpstreamListLog;

    constructor(private readonly dependencies: KnownUpstreamsDependencies) {
        this.listLog = new UpstreamListLog(dependencies.log);
    }

    /** Applies what the node's source has read. */
    updateFromSource(records: readonly UpstreamRecord[], origin: ListOrigin): void {
        this.hasSourceRecords = true;
        this.update(records, origin);
    }

    /** Applies what another node has told before the source has read anything; returns whether it was used. */
    tryUpdateFromNode(records: readonly UpstreamRecord[], host: string): boolean {
        const isUsed = !this.hasSourceRecords && records.length > 0;
        if (isUsed) {
            this.update(records, createListOrigin(host));
        }
        return isUsed;
    }

    update(records: readonly UpstreamRecord[], origin: ListOrigin): void {
        const { directory, retryBudgets, localUpstream, organisations, readOwnAddress } = this.dependencies;
        directory.update(records);
        const nodeCount = new Set(records.map(({ host }) => host)).size;
        retryBudgets.updateNodeCount(nodeCount);
        organisations.tokens.updateNodes(records, nodeCount);
        const { host, port } = readOwnAddress();
        const ownRecord = directory.findByAddress(host, port);
        localUpstream.update(ownRecord);
        this.listLog.write(records, origin, ownRecord?.id);
    }
}
