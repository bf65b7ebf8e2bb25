/** Asks nodes that have a higher routing version in force for what they know. */
import { type FleetView, queryView } from "./control";

/** What the exchange works with. */
export interface ViewSyncDependencies {
    readonly readVersion: () => number;
    /** Port of the control listener, the same on all nodes. */
    readonly controlPort: number;
    readonly onView: (view: FleetView, host: string) => void;
    /** Told that a node which is ahead did not answer. */
    readonly onFailed: (host: string) => void;
    readonly readNowMs: () => number;
}

/** Least time between two questions, in milliseconds: time for the platform's own word to arrive first. */
const queryIntervalMs = 250;

/** Owns the questions to other nodes; one at a time. */
export class ViewSync {
    private isAsking = false;
    private lastAskedMs = -Infinity;

    constructor(private readonly dependencies: ViewSyncDependencies) {}

    /** Takes note of the version that a node has in force. */
    observe(host: string, version: number): void {
        const { readVersion, readNowMs } = this.dependencies;
        if (version <= readVersion() || this.isAsking || readNowMs() - this.lastAskedMs < queryIntervalMs) {
            return;
        }
        this.isAsking = true;
        this.lastAskedMs = readNowMs();
        void this.query(host);
    }

    private async query(host: string): Promise<void> {
        const view = await queryView({ host, port: this.dependencies.controlPort });
        this.isAsking = false;
        if (!view) {
            this.dependencies.onFailed(host);
            return;
        }
        this.dependencies.onView(view, host);
    }
}
