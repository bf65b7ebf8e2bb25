/** Up to which time the routing table of this node is known to have been the newest of the store. */
import { computeAge } from "../../decisions/computeAge";
import { type Clock, readInstant } from "../../tasks/_lib/clock";
import { type Instant } from "../../types";

/** What another place says of the newest table. */
export interface TableEvidence {
    /** Version that was the newest. */
    readonly version: number;
    /** Time of the question to that place, before which nothing is known of its answer. */
    readonly askedAt: Instant;
    /** Age of that place's own proof at the time of its answer, less the time for which it held the question, in ms. */
    readonly ageMs: number;
}

/**
 * Holds the latest proof. A proof stays valid when a newer table is adopted: that one contains all that the store had
 * acknowledged at the time of the proof.
 */
export class TableProof {
    private provenAt: Instant | undefined;

    constructor(private readonly clock: Pick<Clock, "readMonotonicMs" | "readWallMs">) {}

    readNow(): Instant {
        return readInstant(this.clock);
    }

    /** Returns the longest time for which the node's table may have been outdated, in ms; Infinity if unknown. */
    readAgeMs(): number {
        return this.provenAt ? computeAge(this.provenAt, this.readNow()) : Infinity;
    }

    /** Takes in evidence. It proves nothing about another version than the node's own. */
    record({ version, askedAt, ageMs }: TableEvidence, ownVersion: number): void {
        if (version < 1 || ownVersion !== version || !Number.isFinite(ageMs)) {
            return;
        }
        const monotonicMs = askedAt.monotonicMs - ageMs;
        if (!this.provenAt || monotonicMs > this.provenAt.monotonicMs) {
            this.provenAt = { monotonicMs, wallMs: askedAt.wallMs - ageMs };
        }
    }
}
