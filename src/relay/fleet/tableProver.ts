/** Renews the proof that the routing table of this node is the newest, while requests carry keys. */
import { awaitDelay } from "../../tasks/_lib/clock";
import { type SourceListener } from "../source";
import { type FleetState } from "./fleetState";
import { type LearningMeans } from "./types";

/** Mean interval between checks of the proof's age, in milliseconds. */
const checkIntervalMs = 250;
/** Age at which a node that watches the store for others renews its proof, in milliseconds. */
const watcherRenewalMs = 800;
/** Age at which any other node stops waiting for evidence from others, and renews its proof, in milliseconds. */
const ownRenewalMs = 2_400;
/** Time after which a read of the store that has not ended is given up, in milliseconds. */
const maxReadMs = 4_000;

/** Means to renew the proof. */
export interface TableProverOptions extends LearningMeans {
    readonly host: string;
}

/**
 * Reads the table from the store on nodes that watch it; the others learn its age from their answers. A node that learns
 * nothing for a while reads the table itself, and if the store turns it away also asks any node of the fleet.
 */
export class TableProver {
    private isStopped = false;
    /** Monotonic time at which the read of the store under way began, in milliseconds; -Infinity if there is none. */
    private readingSinceMs = -Infinity;
    private hasStoreFailed = false;

    constructor(
        private readonly options: TableProverOptions,
        private readonly state: FleetState,
        private readonly listener: SourceListener,
    ) {}

    stop(): void {
        this.isStopped = true;
    }

    /** Waits for the next check of the proof's age, and renews the proof if it is due. */
    async run(): Promise<void> {
        const { clock, sampleRandom } = this.options;
        await awaitDelay(clock, checkIntervalMs * (0.75 + sampleRandom() / 2));
        if (!this.isStopped && this.isRenewalDue()) {
            await this.updateProof();
        }
    }

    /** Reads the store, and asks another node while the store doesn't answer. */
    private async updateProof(): Promise<void> {
        const isReadingStore = this.options.clock.readMonotonicMs() - this.readingSinceMs < maxReadMs;
        const isStoreSilent = isReadingStore || this.hasStoreFailed;
        if (!isReadingStore) {
            this.readStore().catch((error: unknown) => {
                this.hasStoreFailed = true;
                this.listener.onLearningFailed("table-proof", error as Error);
            });
        }
        if (isStoreSilent) {
            await this.queryAnyNode();
        }
    }

    private isRenewalDue(): boolean {
        const renewalMs = this.state.isReadingStore ? watcherRenewalMs : ownRenewalMs;
        return this.listener.readTable()?.organisations !== undefined && this.state.proof.readAgeMs() >= renewalMs;
    }

    private async readStore(): Promise<void> {
        const askedAt = this.state.proof.readNow();
        this.readingSinceMs = askedAt.monotonicMs;
        try {
            const reading = await this.options.reader.readTable();
            if (!this.isStopped) {
                this.hasStoreFailed = !this.state.applyTableReading(reading, askedAt);
            }
        }
        finally {
            this.readingSinceMs = -Infinity;
        }
    }

    private async queryAnyNode(): Promise<void> {
        const { host: ownHost, client, sampleRandom } = this.options;
        const hosts = [...new Set(this.state.view.list().map(({ host }) => host))].filter(host => host !== ownHost);
        const host = hosts[Math.floor(sampleRandom() * hosts.length)];
        if (host === undefined) {
            return;
        }
        const askedAt = this.state.proof.readNow();
        const answer = await client.queryTable(host, this.listener.readTable()?.version ?? 0);
        if (answer && !this.isStopped) {
            this.state.applyTableAnswer(answer, host, askedAt);
        }
    }
}
