/** Watches the store, and notices early that it can't be reached any more. */
import { type StorePosition } from "../../routing/types";
import { awaitDelay, type Clock } from "../../tasks/_lib/clock";
import { type StoreReader, type StoreReading } from "./types";

/** Pause between two checks whether the store can be reached while a watch waits, in milliseconds. */
const pingIntervalMs = 600;

/**
 * Waits for changes of the store. A waiting watch doesn't tell whether the store can still be reached: its answer would
 * only be missed at the end of its wait. The watch is given up when the store doesn't answer a ping meanwhile.
 */
export class StoreWatch {
    constructor(
        private readonly reader: StoreReader,
        private readonly clock: Clock,
    ) {}

    /** Waits up to `waitMs` milliseconds for changes since a position. */
    async watch(position: StorePosition, waitMs: number): Promise<StoreReading> {
        const abort = new AbortController();
        const reading = this.reader.watch(position, waitMs, abort.signal);
        const ended = reading.then(() => "ended" as const);
        for (;;) {
            const event = await Promise.race([
                ended,
                awaitDelay(this.clock, pingIntervalMs).then(() => "due" as const),
            ]);
            const isReached = event === "ended" || await Promise.race([ended, this.reader.ping()]);
            if (event === "ended" || isReached === "ended") {
                return reading;
            }
            if (!isReached) {
                abort.abort();
                return { kind: "failed", detail: "the store answers no ping" };
            }
        }
    }
}
