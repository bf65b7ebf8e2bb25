/** Phase of the node's life, by the state chart in src/charts/nodeLifecycle.json. */
import { createMachine, getInitialSnapshot, getNextSnapshot } from "xstate";
import chart from "../../charts/nodeLifecycle.json";
import { type LifecyclePhase, type MessageBus } from "../messages";

/** Events of the chart. */
export type LifecycleEvent =
    | "started"
    | "stopRequested"
    | "upstreamLeaving"
    | "listedLeaving"
    | "drained"
    | "drainExpired";

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

/** Owns the phase of the node. */
export class Lifecycle {
    private snapshot = getInitialSnapshot(machine);

    constructor(private readonly bus: MessageBus) {}

    get phase(): LifecyclePhase {
        return this.snapshot.value as LifecyclePhase;
    }

    /** Whether the node takes no new work. */
    isDraining(): boolean {
        return this.phase === "draining" || this.phase === "stopped";
    }

    /** Handles an event; a change of phase is published. */
    handle(event: LifecycleEvent): void {
        const before = this.phase;
        this.snapshot = getNextSnapshot(machine, this.snapshot, { type: event });
        if (this.phase === before) {
            return;
        }
        this.bus.publish({ kind: "lifecycleChanged", phase: this.phase });
        this.bus.publish({
            kind: "audited",
            audit: { event: "lifecycle-changed", fields: { from: before, to: this.phase, cause: event } },
        });
    }
}
