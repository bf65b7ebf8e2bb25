/** Bounded audit trail of one node. */
import { maxAuditEvents } from "../../constants";
import { type AuditEvent, type MessageBus } from "../messages";

/** Entry of the audit trail. */
export interface AuditEntry extends AuditEvent {
    /** Position in the trail of this node, starting at 1. */
    readonly sequence: number;
    /** Time in UTC, in ISO 8601 format. */
    readonly time: string;
    readonly endpoint: string;
}

/** Keeps the latest `maxAuditEvents` entries; each entry is also written to the log. */
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

    /** Lists the entries after a position, oldest first; all kept entries by default. */
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
