/** Whether the local upstream has been leaving for so long that it gets no new work, whatever other nodes believe. */
import { type UpstreamState } from "../routing/types";

/**
 * Time for which requests of nodes that have not heard of it are still passed on, in milliseconds. Refusing them costs
 * those nodes another try; a leaving upstream has to be without new work two seconds after its word.
 */
const toleranceMs = 1_000;

/** Owns the time since which the local upstream has been draining or has not been listed any more. */
export class UpstreamLeaving {
    private wasListed = false;
    private sinceMs: number | undefined;

    constructor(private readonly readNowMs: () => number) {}

    /** Takes what the list says of the local upstream; undefined when it is not listed. */
    update(state: UpstreamState | undefined): void {
        this.wasListed ||= state !== undefined;
        if (state === "ready" || !this.wasListed) {
            this.sinceMs = undefined;
            return;
        }
        this.sinceMs ??= this.readNowMs();
    }

    isToleranceOver(): boolean {
        return this.sinceMs !== undefined && this.readNowMs() - this.sinceMs > toleranceMs;
    }
}
