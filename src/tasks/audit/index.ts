/** Bounded trail of changes at one node. */
import { maxAuditEvents } from "../../constants";
import { type AuditEvent, type MessageBus } from "../messages";

/** An entry of the trail, with its place and time. */
export interface AuditEntry extends AuditEvent {
    /** Position in this node's trail, from 1. */
    readonly sequence: number;
    /** ISO 8601 time in UTC. */
    readonly time: string;
    readonly endpoint: string;
}

/** Owns the trail; each entry is logged as well. */
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

    /** Lists the entries after a position, oldest first. */
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
