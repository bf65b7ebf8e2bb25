/** Lifecycle of a node, as defined by the state chart in src/charts/nodeLifecycle.json. */
import { createMachine, getInitialSnapshot, getNextSnapshot } from "xstate";
import chart from "../../charts/nodeLifecycle.json";
import { type LifecyclePhase, type MessageBus } from "../messages";

/** Event of the state chart. */
export type LifecycleEvent =
    | "started"
    | "stopRequested"
    | "upstreamLeaving"
    | "listedLeaving"
    | "drained"
    | "drainExpired";

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

/** Owns the lifecycle phase of a node. */
export class Lifecycle {
    private snapshot = getInitialSnapshot(machine);

    constructor(private readonly bus: MessageBus) {}

    get phase(): LifecyclePhase {
        return this.snapshot.value as LifecyclePhase;
    }

    /** Whether the node accepts no new requests. */
    isDraining(): boolean {
        return this.phase === "draining" || this.phase === "stopped";
    }

    /** Handles an event; publishes the new phase if it has changed. */
    handle(event: LifecycleEvent): void {
        const previousPhase = this.phase;
        this.snapshot = getNextSnapshot(machine, this.snapshot, { type: event });
        if (this.phase === previousPhase) {
            return;
        }
        this.bus.publish({ kind: "lifecycleChanged", phase: this.phase });
        this.bus.publish({
            kind: "audited",
            audit: { event: "lifecycle-changed", fields: { from: previousPhase, to: this.phase, cause: event } },
        });
    }
}
