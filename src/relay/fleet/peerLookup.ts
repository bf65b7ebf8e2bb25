/** Finds other nodes when a node starts, and takes over the view of one of them. */
import { awaitDelay } from "../../tasks/_lib/clock";
import { type Instant } from "../../types";
import { type FleetState } from "./fleetState";
import { type LearningMeans, type StoreReading } from "./types";

/** Longest time for which a starting node looks for other nodes to ask, and the mean pause, in milliseconds. */
const maxLookupMs = 5_000;
const lookupPauseMs = 500;
/** Number of lookups that find upstreams, but no other node of the failure domain, before the node gives up. */
const maxVainLookups = 3;

/** Means to look for other nodes. */
export interface PeerLookupOptions extends LearningMeans {
    /** Whether the whole fleet starts for the first time, so that no request is waiting yet. */
    readonly isFirstStart: boolean;
}

/**
 * Finds other nodes in a stale copy of the store, which is cheap to read, and takes over the view of one of them. The copy
 * itself isn't used, since it may be older than what the other nodes apply. A node that restarts reads the store itself
 * and uses that at once, since requests are waiting for it; it asks other nodes afterwards.
 */
export class PeerLookup {
    private hasEnded = false;
    private startedAtMs: number | undefined;
    private vainLookups = 0;

    /** `applyReading` applies a reading of the store; it returns whether the reading succeeded. */
    constructor(
        private readonly options: PeerLookupOptions,
        private readonly state: FleetState,
        private readonly applyReading: (reading: StoreReading, askedAt: Instant) => boolean,
    ) {}

    /** Whether another node or the store has been found, or the search has been given up. */
    get isOver(): boolean {
        return this.hasEnded;
    }

    /** Looks once; waits for a moment if that was in vain. */
    async run(): Promise<void> {
        const { clock, sampleRandom } = this.options;
        this.startedAtMs ??= clock.readMonotonicMs();
        const isLate = clock.readMonotonicMs() - this.startedAtMs >= maxLookupMs;
        if (isLate || this.vainLookups >= maxVainLookups || await this.tryFind()) {
            this.hasEnded = true;
            return;
        }
        await awaitDelay(clock, lookupPauseMs * (0.5 + sampleRandom()));
    }

    private async tryFind(): Promise<boolean> {
        const { reader, isFirstStart } = this.options;
        const { ranking, proof } = this.state;
        const askedAt = proof.readNow();
        const reading = await reader.readAll({ allowStale: isFirstStart });
        if (reading.kind === "batch") {
            ranking.update(reading.batch.records);
            this.vainLookups += reading.batch.records.length > 0 ? 1 : 0;
        }
        const isRead = !isFirstStart && this.applyReading(reading, askedAt);
        return isRead || await this.takeOverView() || ranking.hasPeers;
    }

    private async takeOverView(): Promise<boolean> {
        for (const host of this.state.ranking.listPeers()) {
            const askedAt = this.state.proof.readNow();
            const changes = await this.options.client.queryChanges(host, this.state.createQuery(host, 0));
            if (changes?.batch && this.state.applyChanges(changes, host, askedAt)) {
                return true;
            }
        }
        return false;
    }
}
