/** Lifecycle of a node, which the state chart src/charts/nodeLifecycle.json defines. */
import { createMachine, getInitialSnapshot, getNextSnapshot } from "xstate";
import chart from "../../charts/nodeLifecycle.json";
import { type LifecyclePhase, type MessageBus } from "../messages";

/** Events of the state chart; "listedLeaving": the instance list shows this instance as leaving or replaced. */
export type LifecycleEvent =
    | "started"
    | "stopRequested"
    | "upstreamLeaving"
    | "listedLeaving"
    | "drained"
    | "drainExpired";

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

/** Keeps the lifecycle phase of a node and publishes its changes. */
export class Lifecycle {
    private snapshot = getInitialSnapshot(machine);

    constructor(private readonly bus: MessageBus) {}

    get phase(): LifecyclePhase {
        return this.snapshot.value as LifecyclePhase;
    }

    /** Whether the node refuses new requests, also once it has stopped. */
    isDraining(): boolean {
        return this.phase === "draining" || this.phase === "stopped";
    }

    /** Handles an event; ignores it if the state chart has no transition for it in the current phase. */
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
