/**
 * Decides whether this node may run requests with new keys.
 * After a pause it may not, until the platform has confirmed that the node was not replaced meanwhile.
 */
import { type Settings } from "../../settings/types";
import { type Instance } from "../../types";
import { type MessageBus } from "../messages";

/** Whether the node is the home of the keys of its endpoint. */
export type HomeState = "sure" | "unsure" | "replaced";

/** Owns the home state of a node; a replaced node never becomes the home again. */
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
        this.update("unsure", "process-paused", { pausedMs: Math.round(pausedMs) });
    }

    /** Ignores answers to queries sent before the process resumed: they may be older than a replacement. */
    private handleConfirmation(queriedAtMs: number): void {
        if (this.currentState === "unsure" && queriedAtMs >= this.resumedAtMs && this.listedInstance) {
            this.update("sure", "home-confirmed", {});
        }
    }

    private checkReplaced(): void {
        const { peers } = this.settings.listen;
        const isReplaced = this.listedInstance !== undefined
            && (this.listedInstance.peer.host !== peers.host || this.listedInstance.peer.port !== peers.port);
        if (isReplaced) {
            this.update("replaced", "instance-replaced", {
                by: `${this.listedInstance!.peer.host}:${this.listedInstance!.peer.port}`,
            });
        }
    }

    private update(state: HomeState, event: string, fields: Readonly<Record<string, string | number>>): void {
        if (this.currentState === "replaced") {
            return;
        }
        this.currentState = state;
        this.bus.publish({ kind: "audited", audit: { event, fields } });
    }
}
