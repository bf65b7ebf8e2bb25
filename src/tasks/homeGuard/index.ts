/**
 * Decides whether this node may run requests with idempotency keys that it has no record of.
 * After a pause of the process it may not, until the platform confirms that no other instance has replaced the node.
 */
import { type Settings } from "../../settings/types";
import { type Instance } from "../../types";
import { type MessageBus } from "../messages";

/**
 * Whether the node is the home of the keys of its endpoint. "unsure": the process was paused, and the platform has not
 * confirmed the node since. "replaced": the platform lists another address for the endpoint.
 */
export type HomeState = "sure" | "unsure" | "replaced";

/** Tracks whether a node is the home of its keys; a replaced node never becomes the home again. */
export class HomeGuard {
    private currentState: HomeState = "sure";
    private resumedAtMs = 0;
    private listedInstance: Instance | undefined;

    constructor(private readonly settings: Settings, private readonly bus: MessageBus) {
        bus.subscribe("paused", ({ pausedMs, resumedAtMs }) => this.handlePause(pausedMs, resumedAtMs));
        bus.subscribe("instancesRead", ({ instances }) => {
            this.listedInstance = instances.find(instance => instance.endpoint === settings.endpoint);
            this.checkReplaced();
        });
        bus.subscribe("instancesConfirmed", ({ queriedAtMs }) => this.handleConfirmation(queriedAtMs));
    }

    get state(): HomeState {
        return this.currentState;
    }

    private handlePause(pausedMs: number, resumedAtMs: number): void {
        this.resumedAtMs = resumedAtMs;
        this.updateState("unsure", "process-paused", { pausedMs: Math.round(pausedMs) });
    }

    /** Ignores an answer to a query from before the process resumed, since the node may have been replaced after it. */
    private handleConfirmation(queriedAtMs: number): void {
        if (this.currentState === "unsure" && queriedAtMs >= this.resumedAtMs && this.listedInstance) {
            this.updateState("sure", "home-confirmed", {});
        }
    }

    private checkReplaced(): void {
        const { peers } = this.settings.listen;
        const isReplaced = this.listedInstance !== undefined
            && (this.listedInstance.peer.host !== peers.host || this.listedInstance.peer.port !== peers.port);
        if (isReplaced) {
            this.updateState("replaced", "instance-replaced", {
                by: `${this.listedInstance!.peer.host}:${this.listedInstance!.peer.port}`,
            });
        }
    }

    private updateState(state: HomeState, event: string, fields: Readonly<Record<string, string | number>>): void {
        if (this.currentState === "replaced") {
            return;
        }
        this.currentState = state;
        this.bus.publish({ kind: "audited", audit: { event, fields } });
    }
}
