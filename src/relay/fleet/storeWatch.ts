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
    constructor(private readonly reader: StoreReader, private readonly clock: Clock) {}

    /** Waits up to `waitMs` milliseconds for changes since a position. */
    watch(position: StorePosition, waitMs: number): Promise<StoreReading> {
        const abort = new AbortController();
        const reading = this.reader.watch(position, waitMs, abort.signal);
        let isEnded = false;
        const end = (): void => {
            isEnded = true;
        };
        reading.then(end, end);
        this.pingUntil(() => isEnded, abort).catch((error: unknown) => abort.abort(error));
        return reading;
    }

    /** Aborts the watch if a ping isn't answered before the watch has ended. */
    private async pingUntil(isEnded: () => boolean, abort: AbortController): Promise<void> {
        while (!isEnded()) {
            await awaitDelay(this.clock, pingIntervalMs);
            if (!isEnded() && !await this.reader.ping()) {
                abort.abort(new Error("the store answers no ping"));
                return;
            }
        }
    }
}
