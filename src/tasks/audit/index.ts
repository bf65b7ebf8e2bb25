/** Audit trail of one node, in memory and in its log. */
import { maxAuditEvents } from "../../constants";
import { type AuditEvent, type MessageBus } from "../messages";

export interface AuditEntry extends AuditEvent {
    /** Position in the audit trail of this node since it started, beginning at 1. */
    readonly sequence: number;
    /** Wall clock time in ISO 8601 format, in UTC. */
    readonly time: string;
    /** Endpoint of the node that recorded the event. */
    readonly endpoint: string;
}

/** Writes each audit event to the log, and keeps the last `maxAuditEvents` of them in memory. */
export class AuditTrail {
    private readonly entries: AuditEntry[] = [];
    private sequence = 0;

    constructor(
        bus: MessageBus,
        private readonly endpoint: string,
        private readonly readWallMs: () => number,
        private readonly writeLog: (entry: AuditEntry) => void,
    ) {
        bus.subscribe("audited", message => this.record(message.audit));
    }

    /** Lists the entries in memory whose sequence number is higher than the given one, oldest first. */
    list(afterSequence = 0): readonly AuditEntry[] {
        return this.entries.filter(entry => entry.sequence > afterSequence);
    }

    private record(event: AuditEvent): void {
        this.sequence += 1;
        const time = new Date(this.readWallMs()).toISOString();
        const entry: AuditEntry = { ...event, sequence: this.sequence, time, endpoint: this.endpoint };
        this.entries.push(entry);
        if (this.entries.length > maxAuditEvents) {
            this.entries.shift();
        }
        this.writeLog(entry);
    }
}
