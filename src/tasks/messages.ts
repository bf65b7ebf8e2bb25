/** Messages that the tasks of one node exchange, and the bus that delivers them. */
import { type PolicyVersion } from "../policy/types";
import { type Instance } from "../types";

/** Phase of a node's lifecycle. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "stopped";

/** Event for the audit trail. */
export interface AuditEvent {
    /** Stable name of the event, as listed in docs/operators/events.md. */
    readonly event: string;
    readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Message to all subscribers of its kind. */
export type Message =
    /** A policy log was read; `source` is "platform", or "peer" and an endpoint. A peer's log has the revision 0. */
    | { readonly kind: "policyLogRead"; readonly text: string; readonly revision: number; readonly source: string; }
    | { readonly kind: "policyAdopted"; readonly version: PolicyVersion; readonly source: string; }
    | { readonly kind: "instancesRead"; readonly instances: readonly Instance[]; readonly revision: number; }
    /** After a pause, the platform has returned the instance list; `queriedAtMs` is the monotonic time of the query. */
    | { readonly kind: "instancesConfirmed"; readonly queriedAtMs: number; }
    /** The process has resumed after a pause; `resumedAtMs` is the monotonic time when this was detected. */
    | { readonly kind: "paused"; readonly pausedMs: number; readonly resumedAtMs: number; }
    /** The platform has become reachable or unreachable; `detail` is the error, or empty if it is reachable. */
    | { readonly kind: "platformReached"; readonly reached: boolean; readonly detail: string; }
    | { readonly kind: "lifecycleChanged"; readonly phase: LifecyclePhase; }
    /** The local upstream crashed while it served a request. */
    | { readonly kind: "suspectFound"; readonly fingerprint: string; }
    /** Another node reports that its upstream crashed while it served a request. */
    | { readonly kind: "suspectReported"; readonly fingerprint: string; readonly endpoint: string; }
    /** Another node reports that it is draining and accepts no new requests. */
    | { readonly kind: "leavingReported"; readonly endpoint: string; }
    | { readonly kind: "audited"; readonly audit: AuditEvent; };

/** Creates the audit message about a task that could not handle what it has learned. */
export const createLearningFailure = (task: string, { stack, message }: Error): Message => ({
    kind: "audited",
    audit: { event: "learning-failed", fields: { task, detail: stack ?? message } },
});

type MessageOf<Kind extends Message["kind"]> = Extract<Message, { readonly kind: Kind; }>;
type MessageHandler = (message: Message) => void;

/**
 * Delivers messages within a node, synchronously and in the order in which they were published.
 * If a handler publishes a message, it is delivered after the current one has been delivered to all its handlers.
 */
export class MessageBus {
    private readonly handlers = new Map<Message["kind"], MessageHandler[]>();
    private readonly pending: Message[] = [];
    private isDelivering = false;

    /** Registers a handler for all later messages of a kind. */
    subscribe<Kind extends Message["kind"]>(kind: Kind, handler: (message: MessageOf<Kind>) => void): void {
        const subscribed = this.handlers.get(kind) ?? [];
        this.handlers.set(kind, [...subscribed, handler as MessageHandler]);
    }

    /**
     * Delivers a message before it returns, unless a delivery is in progress. An exception of a handler keeps no other
     * handler from getting the message; the first one is thrown in the end.
     */
    publish(message: Message): void {
        this.pending.push(message);
        if (this.isDelivering) {
            return;
        }
        this.isDelivering = true;
        const [error] = this.dispatchPending();
        this.isDelivering = false;
        if (error !== undefined) {
            throw error;
        }
    }

    /** Delivers all pending messages; returns what handlers have thrown. */
    private dispatchPending(): readonly unknown[] {
        const errors: unknown[] = [];
        for (let next = this.pending.shift(); next; next = this.pending.shift()) {
            const message = next;
            this.handlers.get(message.kind)?.forEach(handler => {
                try {
                    handler(message);
                }
                catch (error) {
                    errors.push(error);
                }
            });
        }
        return errors;
    }
}
