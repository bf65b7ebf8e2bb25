/** Whether this node may run requests with new keys: not after a pause, until it knows that it has not been replaced. */
import { type Settings } from "../../settings/types";
import { type Instance } from "../../types";
import { type MessageBus } from "../messages";

/** Whether the node is the home of its endpoint's keys. */
export type HomeState = "sure" | "unsure" | "replaced";

/** Owns the state; a replaced node never becomes home again. */
export class HomeGuard {
    private current: HomeState = "sure";
    private wokeAtMs = 0;
    private listed: Instance | undefined;

    constructor(private readonly settings: Settings, private readonly bus: MessageBus) {
        bus.subscribe("paused", ({ pausedMs, resumedAtMs: wokeAtMs }) => this.handlePause(pausedMs, wokeAtMs));
        bus.subscribe("instancesRead", ({ instances }) => {
            this.listed = instances.find(instance => instance.endpoint === settings.endpoint);
            this.checkReplaced();
        });
        bus.subscribe("instancesConfirmed", ({ queriedAtMs: askedAtMs }) => this.handleConfirmed(askedAtMs));
    }

    get state(): HomeState {
        return this.current;
    }

    private handlePause(pausedMs: number, wokeAtMs: number): void {
        this.wokeAtMs = wokeAtMs;
        this.update("unsure", "process-paused", { pausedMs: Math.round(pausedMs) });
    }

    /** Only a read that was asked for after waking says how the world is now. */
    private handleConfirmed(askedAtMs: number): void {
        if (this.current === "unsure" && askedAtMs >= this.wokeAtMs && this.listed) {
            this.update("sure", "home-confirmed", {});
        }
    }

    private checkReplaced(): void {
        const { peers } = this.settings.listen;
        const isElsewhere = this.listed !== undefined
            && (this.listed.peer.host !== peers.host || this.listed.peer.port !== peers.port);
        if (isElsewhere) {
            this.update("replaced", "instance-replaced", { by: `${this.listed!.peer.host}:${this.listed!.peer.port}` });
        }
    }

    private update(state: HomeState, event: string, fields: Readonly<Record<string, string | number>>): void {
        if (this.current === "replaced") {
            return;
        }
        this.current = state;
        this.bus.publish({ kind: "audited", audit: { event, fields } });
    }
}
