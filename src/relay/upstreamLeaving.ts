/** Decides when a leaving upstream receives no new requests, even if other nodes still send them. */
import { type UpstreamState } from "../routing/types";

/**
 * Time for which a leaving upstream still receives requests of nodes that do not know its state, in milliseconds.
 * Refusing such a request costs the node a reroute; a leaving upstream must receive no new requests two seconds after
 * it has announced that it is leaving.
 */
const toleranceMs = 1_000;

/** Records since when the local upstream has been draining or missing in the upstream list. */
export class UpstreamLeaving {
    private wasListed = false;
    private leavingSinceMs: number | undefined;

    constructor(private readonly readNowMs: () => number) {}

    /** Updates the listed state of the local upstream; undefined if it is not listed. */
    update(state: UpstreamState | undefined): void {
        this.wasListed ||= state !== undefined;
        if (state === "ready" || !this.wasListed) {
            this.leavingSinceMs = undefined;
            return;
        }
        this.leavingSinceMs ??= this.readNowMs();
    }

    /** Whether the upstream must not receive new requests any more. */
    isToleranceOver(): boolean {
        return this.leavingSinceMs !== undefined && this.readNowMs() - this.leavingSinceMs > toleranceMs;
    }
}
