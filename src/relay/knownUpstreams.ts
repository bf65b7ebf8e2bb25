import { type UpstreamRecord } from "../routing/types";
import { type Address } from "../types";
import { type RetryBudgets } from "./_lib/retryBudgets";
import { type ListOrigin } from "./fleet/types";
import { type LocalUpstream } from "./localUpstream";
import { type EventLog } from "./log";
import { type UpstreamDirectory } from "./upstreamDirectory";
import { UpstreamListLog } from "./upstreamListLog";

/** Components that depend on the list of upstreams. */
export interface KnownUpstreamsDependencies {
    readonly directory: UpstreamDirectory;
    readonly retryBudgets: RetryBudgets;
    readonly localUpstream: LocalUpstream;
    readonly log: EventLog;
    /** Returns the address of the upstream beside this node. */
    readonly readOwnAddress: () => Address;
}

/** Passes each new list of upstreams to the components that depend on it, and logs its changes. */
export class KnownUpstreams {
    private readonly listLog: UpstreamListLog;

    constructor(private readonly dependencies: KnownUpstreamsDependencies) {
        this.listLog = new UpstreamListLog(dependencies.log);
    }

    update(records: readonly UpstreamRecord[], origin: ListOrigin): void {
        const { directory, retryBudgets, localUpstream, readOwnAddress } = this.dependencies;
        directory.update(records);
        retryBudgets.updateNodeCount(new Set(records.map(({ host }) => host)).size);
        const { host, port } = readOwnAddress();
        const ownRecord = directory.findByAddress(host, port);
        localUpstream.update(ownRecord);
        this.listLog.write(records, origin, ownRecord?.id);
    }
}
