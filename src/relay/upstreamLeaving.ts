/** Decides when the node begins to refuse the requests that other nodes still send to a leaving upstream. */
import { type UpstreamState } from "../routing/types";

/**
 * Time for which a leaving upstream still receives requests from nodes that do not know its state, in milliseconds.
 * Refusing such a request costs its sender a reroute, but the upstream must receive no new requests two seconds after
 * it announced that it is leaving.
 */
const toleranceMs = 1_000;

/** Records since when the local upstream has been draining or missing from the upstream list. */
export class UpstreamLeaving {
    private wasListed = false;
    private missingSinceMs: number | undefined;
    private leavingSinceMs: number | undefined;
    /** Time of the upstream's own announcement; no list takes it back. */
    private announcedAtMs: number | undefined;

    constructor(private readonly readNowMs: () => number) {}

    /** Records the state of the local upstream in the latest list; `state` is undefined if it is not listed. */
    update(state: UpstreamState | undefined): void {
        this.wasListed ||= state !== undefined;
        if (state === "ready" || !this.wasListed) {
            this.missingSinceMs = undefined;
            this.leavingSinceMs = undefined;
            return;
        }
        this.missingSinceMs ??= this.readNowMs();
        // A missing upstream may only have lapsed; once it is known to have left, the time that it was missing counts.
        this.leavingSinceMs ??= state === "missing" ? undefined : this.missingSinceMs;
    }

    /** Records that the upstream itself has said that it is leaving. */
    recordAnnouncement(): void {
        this.announcedAtMs ??= this.readNowMs();
    }

    /** Forgets the announcement of the former incarnation. */
    beginIncarnation(): void {
        this.announcedAtMs = undefined;
    }

    /** Returns for how long the upstream has been leaving, in milliseconds; undefined if it isn't. */
    readLeavingMs(): number | undefined {
        const sinceMs = Math.min(this.leavingSinceMs ?? Infinity, this.announcedAtMs ?? Infinity);
        return sinceMs === Infinity ? undefined : this.readNowMs() - sinceMs;
    }

    /** Whether the upstream has been leaving for longer than the tolerance and must receive no new requests. */
    isToleranceOver(): boolean {
        return (this.readLeavingMs() ?? 0) > toleranceMs;
    }
}
