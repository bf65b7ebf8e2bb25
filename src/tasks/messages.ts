/** Messages that tasks of one node send each other, and the bus that carries them. */
import { type PolicyVersion } from "../policy/types";
import { type Instance } from "../types";

/** Phase of a node's life. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "stopped";

/** One entry of the audit trail. */
export interface AuditEvent {
    /** Stable name of the event, as listed in docs/operators/events.md. */
    readonly event: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** A message to all tasks that subscribe to its kind. */
export type Message =
    | { readonly kind: "policyLogRead"; readonly text: string; readonly revision: number; readonly source: string; }
    | { readonly kind: "policyAdopted"; readonly version: PolicyVersion; readonly source: string; }
    | { readonly kind: "instancesRead"; readonly instances: readonly Instance[]; readonly revision: number; }
    /** The platform has said what the instance list is, at a question asked at a monotonic time. */
    | { readonly kind: "instancesConfirmed"; readonly queriedAtMs: number; }
    /** The process has been paused. */
    | { readonly kind: "paused"; readonly pausedMs: number; readonly resumedAtMs: number; }
    | { readonly kind: "platformReached"; readonly reached: boolean; readonly detail: string; }
    | { readonly kind: "lifecycleChanged"; readonly phase: LifecyclePhase; }
    /** The local upstream died during a request. */
    | { readonly kind: "suspectFound"; readonly fingerprint: string; }
    /** Another node reports that its upstream died during a request. */
    | { readonly kind: "suspectReported"; readonly fingerprint: string; readonly endpoint: string; }
    /** Another node reports that it takes no new work. */
    | { readonly kind: "leavingReported"; readonly endpoint: string; }
    | { readonly kind: "audited"; readonly audit: AuditEvent; };

type MessageOf<Kind extends Message["kind"]> = Extract<Message, { readonly kind: Kind; }>;
type Handler = (message: Message) => void;

/** Delivers messages within a node, in the order in which they were published. */
export class MessageBus {
    private readonly handlers = new Map<Message["kind"], Handler[]>();
    private readonly pending: Message[] = [];
    private delivering = false;

    subscribe<Kind extends Message["kind"]>(kind: Kind, handler: (message: MessageOf<Kind>) => void): void {
        const list = this.handlers.get(kind) ?? [];
        this.handlers.set(kind, [...list, handler as Handler]);
    }

    publish(message: Message): void {
        this.pending.push(message);
        if (this.delivering) {
            return;
        }
        this.delivering = true;
        try {
            this.sendPending();
        }
        finally {
            this.delivering = false;
        }
    }

    private sendPending(): void {
        for (let next = this.pending.shift(); next; next = this.pending.shift()) {
            const message = next;
            this.handlers.get(message.kind)?.forEach(handler => handler(message));
        }
    }
}
