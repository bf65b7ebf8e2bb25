/** Schedules the own reads of the store by a node whose watching nodes have lost it. */

/** Longest delay of the first read, in milliseconds. */
const firstDelayMs = 200;
/** Mean interval between two reads, in milliseconds. */
const intervalMs = 2_000;
/** Longest wait for the next read before the watching nodes are asked again, in milliseconds. */
const maxWaitMs = 1_000;

/** Spreads the reads of the nodes over time. */
export class DirectReads {
    /** Time of the next read; undefined while the watching nodes reach the store. */
    private nextAtMs: number | undefined;

    /** `sampleRandom` returns a random number in [0, 1). */
    constructor(private readonly readNowMs: () => number, private readonly sampleRandom: () => number) {}

    /** Ends the own reads, since a watching node reaches the store. */
    end(): void {
        this.nextAtMs = undefined;
    }

    /** Returns how long to wait, in milliseconds, and whether a read is due after that. */
    schedule(): { readonly delayMs: number; readonly isDue: boolean; } {
        const nowMs = this.readNowMs();
        const leftMs = this.nextAtMs === undefined ? this.sampleRandom() * firstDelayMs : this.nextAtMs - nowMs;
        const delayMs = Math.max(0, Math.min(maxWaitMs, leftMs));
        const isDue = this.nextAtMs === undefined || leftMs <= 0;
        if (isDue) {
            this.nextAtMs = nowMs + delayMs + intervalMs * (0.5 + this.sampleRandom());
        }
        return { delayMs, isDue };
    }
}
