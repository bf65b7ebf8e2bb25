/** Fetches the fleet view from nodes that use a higher routing version than this node. */
import { formatFault } from "../_lib/formatFault";
import { type NodeView } from "./control";
import { queryView } from "./control/client";

/** Functions that view synchronization calls, and the control port of the other nodes. */
export interface ViewSyncDependencies {
    readonly readVersion: () => number;
    /** Port of the control listener, the same on all nodes. */
    readonly controlPort: number;
    /** Called with the fleet view of the node at a host. */
    readonly onViewReceived: (view: NodeView, host: string) => void;
    /** Called when a query of a node with a higher version failed or timed out. */
    readonly onFailed: (host: string, detail: string) => void;
    readonly readNowMs: () => number;
}

/** Minimum time between two queries, in milliseconds. Gives the platform time to deliver the new version. */
const minQueryIntervalMs = 250;

/** Queries the nodes that report a higher routing version, one at a time. */
export class ViewSync {
    private isQuerying = false;
    private lastQueryAtMs = -Infinity;

    constructor(private readonly dependencies: ViewSyncDependencies) {}

    /** Queries a node if its routing version is higher, unless a query is in progress or was sent recently. */
    observe(host: string, version: number): void {
        const { readVersion, readNowMs } = this.dependencies;
        if (version <= readVersion() || this.isQuerying || readNowMs() - this.lastQueryAtMs < minQueryIntervalMs) {
            return;
        }
        this.isQuerying = true;
        this.lastQueryAtMs = readNowMs();
        void this.query(host);
    }

    private async query(host: string): Promise<void> {
        let detail = "";
        const view = await queryView({ host, port: this.dependencies.controlPort }, fault => {
            detail = formatFault(fault);
        });
        this.isQuerying = false;
        if (!view) {
            this.dependencies.onFailed(host, detail);
            return;
        }
        this.dependencies.onViewReceived(view, host);
    }
}
