/** Fetches the fleet view of nodes that use a higher routing version. */
import { type FleetView, queryView } from "./control";

/** Local routing version, clock, control port and callbacks of the view synchronization. */
export interface ViewSyncDependencies {
    readonly readVersion: () => number;
    /** Port of the control listener, the same on all nodes. */
    readonly controlPort: number;
    readonly onView: (view: FleetView, host: string) => void;
    /** Called when a node with a higher version did not answer. */
    readonly onFailed: (host: string) => void;
    readonly readNowMs: () => number;
}

/** Minimum time between two queries, in milliseconds; lets the update of the platform arrive first. */
const minQueryIntervalMs = 250;

/** Queries other nodes, one at a time. */
export class ViewSync {
    private isQuerying = false;
    private lastQueryAtMs = -Infinity;

    constructor(private readonly dependencies: ViewSyncDependencies) {}

    /** Observes the routing version of a node and queries its view if that version is higher. */
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
        const view = await queryView({ host, port: this.dependencies.controlPort });
        this.isQuerying = false;
        if (!view) {
            this.dependencies.onFailed(host);
            return;
        }
        this.dependencies.onView(view, host);
    }
}
