/** Keeps a node's view of the fleet current: two nodes of each failure domain watch the store, the others ask them. */
import { type UpstreamRecord } from "../../routing/types";
import { awaitDelay, type Clock } from "../../tasks/_lib/clock";
import { type Instant } from "../../types";
import { type FleetSource, type SourceListener } from "../source";
import { DirectReads } from "./directReads";
import { FleetState, platformPlace } from "./fleetState";
import { type RankingPlace } from "./peerRanking";
import { StoreWatch } from "./storeWatch";
import { type TableEvidence } from "./tableProof";
import { TableProver } from "./tableProver";
import {
    type ChangesClient,
    type ChangesQuery,
    type FleetChanges,
    type StoreReader,
    type StoreReading,
    type TableAnswer,
} from "./types";
import { WatcherChoice } from "./watcherChoice";

/**
 * Time that a watch of the store waits, in milliseconds. A connection that has gone silent is noticed only when the watch
 * times out, and has to be replaced within 3 s.
 */
const storeWaitMs = 2_000;
/** Wait of a query that only catches up with the store, in milliseconds. */
const catchUpWaitMs = 1;
/** Pause after an answer of the store with changes, in milliseconds. It lets several changes collect. */
const changeBatchMs = 400;
/** Pause between two queries of another node, in milliseconds. */
const peerPauseMs = 50;
/** Pause before the next query after an outdated answer, in milliseconds. */
const outdatedPauseMs = 200;
/** Number of outdated answers in a row after which another node is asked. */
const maxOutdatedAnswers = 3;
/** Time for which a node watches the store after it was asked, or while no other node can be asked, in milliseconds. */
const watchForMs = 3_000;
/** Bounds of the exponential delay before the next query after a failure, in milliseconds, before jitter. */
const initialRetryDelayMs = 100;
const maxRetryDelayMs = 1_000;
/** Longest time that a starting node looks for other nodes to ask, and the mean pause, in milliseconds. */
const maxLookupMs = 5_000;
const lookupPauseMs = 500;
/** Number of lookups that find upstreams, but no other node of the failure domain, before the node gives up. */
const maxVainLookups = 3;

/** Place of a node, its means to read changes, and its sources of time and chance. */
export interface FleetTrackerOptions extends RankingPlace {
    /** Id of this node's view, unique over nodes and restarts. */
    readonly viewId: string;
    /** Whether the whole fleet starts for the first time, so that no request is waiting yet. */
    readonly isFirstStart: boolean;
    readonly reader: StoreReader;
    readonly client: ChangesClient;
    readonly clock: Clock;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Reads the store, or asks nodes that do, and answers the queries of other nodes. */
export class FleetTracker implements FleetSource {
    private state: FleetState | undefined;
    private prover: TableProver | undefined;
    private isStopped = false;
    private failureCount = 0;
    private watchesUntilMs = -Infinity;
    private outdatedAnswers = 0;
    private readonly watcherChoice: WatcherChoice;
    private readonly storeWatch: StoreWatch;
    private readonly directReads: DirectReads;

    constructor(private readonly options: FleetTrackerOptions) {
        this.watcherChoice = new WatcherChoice(options.clock.readMonotonicMs);
        this.directReads = new DirectReads(options.clock.readMonotonicMs, options.sampleRandom);
        this.storeWatch = new StoreWatch(options.reader, options.clock);
    }

    start(listener: SourceListener): void {
        this.state = new FleetState(this.options, listener);
        this.prover = new TableProver(this.options, this.state, listener);
        const reportFailure = (task: string) => (error: Error): void => listener.onLearningFailed(task, error);
        this.runTracking(this.state).catch(reportFailure("fleet"));
        this.prover.run().catch(reportFailure("table-proof"));
    }

    stop(): void {
        this.isStopped = true;
        this.prover?.stop();
        this.options.reader.close();
        this.options.client.close();
        this.state?.releaseWaiters();
    }

    async awaitChanges(query: ChangesQuery): Promise<FleetChanges> {
        const { viewId } = this.options;
        if (query.waitMs > 0) {
            this.watchesUntilMs = Math.max(this.watchesUntilMs, this.readNowMs() + watchForMs);
        }
        return await this.state?.awaitChanges(query)
            ?? { viewId, serial: 0, batch: undefined, table: undefined, isCurrent: false };
    }

    describeTable(version: number): TableAnswer {
        return this.state?.describeTable(version) ?? { version: 0, tableAgeMs: undefined, table: undefined };
    }

    readTableAgeMs(): number {
        return this.state?.proof.readAgeMs() ?? Infinity;
    }

    readLearnedAgeMs(): number {
        return this.state?.learnedAgeMs ?? Infinity;
    }

    recordTableEvidence(evidence: TableEvidence): void {
        this.state?.recordEvidence(evidence);
    }

    receivePeers(records: readonly UpstreamRecord[]): void {
        this.state?.receivePeers(records);
    }

    private async runTracking(state: FleetState): Promise<void> {
        await this.findPeers(state);
        while (!this.isStopped) {
            const watchers = this.listWatchers(state);
            await (watchers.length === 0 ? this.watchStore(state) : this.queryWatchers(state, watchers));
        }
    }

    /**
     * Finds other nodes in a stale copy of the store, which is cheap to read, and takes over the view of one of them.
     * The copy itself isn't used, since it may be older than what the other nodes apply. A node that restarts reads the
     * store itself and uses that at once, since requests are waiting for it; it asks other nodes afterwards.
     */
    private async findPeers(state: FleetState): Promise<void> {
        const startedAtMs = this.readNowMs();
        const { reader, clock, sampleRandom, isFirstStart } = this.options;
        let vainLookups = 0;
        while (vainLookups < maxVainLookups && this.readNowMs() - startedAtMs < maxLookupMs && !this.isStopped) {
            const askedAt = state.proof.readNow();
            const reading = await reader.readAll({ allowStale: isFirstStart });
            if (reading.kind === "batch") {
                state.ranking.update(reading.batch.records);
                vainLookups += reading.batch.records.length > 0 ? 1 : 0;
            }
            if (!isFirstStart && this.applyReading(state, reading, askedAt)) {
                return;
            }
            if (await this.takeOverView(state) || state.ranking.hasPeers) {
                return;
            }
            await awaitDelay(clock, lookupPauseMs * (0.5 + sampleRandom()));
        }
    }

    private async takeOverView(state: FleetState): Promise<boolean> {
        for (const host of state.ranking.listPeers()) {
            const askedAt = state.proof.readNow();
            const changes = await this.options.client.queryChanges(host, state.createQuery(host, 0));
            if (changes?.batch && state.applyChanges(changes, host, askedAt)) {
                return true;
            }
        }
        return false;
    }

    /** Lists the nodes to ask; none if this node has to watch the store itself. */
    private listWatchers({ ranking }: FleetState): readonly string[] {
        const nowMs = this.readNowMs();
        if (nowMs < this.watchesUntilMs || ranking.isWatcher()) {
            return [];
        }
        const hosts = ranking.listPeers();
        if (hosts.length === 0) {
            this.watchesUntilMs = nowMs + watchForMs;
        }
        return hosts;
    }

    /** Asks one of the nodes that watch the store, and reads the store itself when all of them have lost it. */
    private async queryWatchers(state: FleetState, watchers: readonly string[]): Promise<void> {
        state.updateReadingStore(false);
        const askedAt = state.proof.readNow();
        const { host, waitMs } = this.watcherChoice.choose(watchers);
        const changes = await this.options.client.queryChanges(host, state.createQuery(host, waitMs));
        if (this.isStopped) {
            return;
        }
        if (!changes) {
            this.recordPeerFailure(state, host, "no answer");
            await this.readChanges(state);
            return;
        }
        const isApplied = state.applyChanges(changes, host, askedAt);
        this.outdatedAnswers = isApplied ? 0 : this.outdatedAnswers + 1;
        this.watcherChoice.record(host, changes.isCurrent);
        if (!changes.isCurrent) {
            if (!watchers.some(watcher => this.watcherChoice.isUsable(watcher))) {
                await this.readChangesInTurn(state);
            }
            return;
        }
        this.directReads.end();
        if (this.outdatedAnswers >= maxOutdatedAnswers) {
            this.recordPeerFailure(state, host, "view is behind");
            return;
        }
        if (!watchers.includes(state.readingPlace) || !this.watcherChoice.isUsable(state.readingPlace)) {
            state.reportPlace(host, "watches the platform");
        }
        await awaitDelay(this.options.clock, isApplied ? peerPauseMs : outdatedPauseMs);
    }

    private recordPeerFailure(state: FleetState, host: string, reason: string): void {
        this.outdatedAnswers = 0;
        state.ranking.recordFailure(host);
        state.reportPlace(platformPlace, `${host}: ${reason}`);
    }

    /** Reads once what the store has, since no other node has told the changes for a while. */
    private async readChanges(state: FleetState): Promise<void> {
        const askedAt = state.proof.readNow();
        if (!this.applyReading(state, await this.readStore(state, catchUpWaitMs), askedAt) && !this.isStopped) {
            await this.awaitRetryDelay();
        }
    }

    /** Reads the store now and then while the asked nodes can't; if that succeeds, this node watches it itself. */
    private async readChangesInTurn(state: FleetState): Promise<void> {
        const { delayMs, isDue } = this.directReads.schedule();
        await awaitDelay(this.options.clock, delayMs);
        if (!isDue || this.isStopped) {
            return;
        }
        const askedAt = state.proof.readNow();
        if (this.applyReading(state, await this.readStore(state, catchUpWaitMs), askedAt)) {
            this.watchesUntilMs = this.readNowMs() + watchForMs;
        }
    }

    /** Asks any node of the failure domain, since the store may turn away only some nodes. */
    private async queryAnyPeer(state: FleetState): Promise<void> {
        const askedAt = state.proof.readNow();
        const hosts = state.ranking.listOthers();
        const host = hosts[Math.floor(this.options.sampleRandom() * hosts.length)];
        const changes = host === undefined
            ? undefined
            : await this.options.client.queryChanges(host, state.createQuery(host, 0));
        if (changes && !this.isStopped) {
            state.applyChanges(changes, host!, askedAt);
        }
    }

    private async watchStore(state: FleetState): Promise<void> {
        const { serial } = state.view;
        const askedAt = state.proof.readNow();
        const waitMs = state.isReadingStore ? storeWaitMs : catchUpWaitMs;
        const reading = await this.readStore(state, waitMs);
        const isSuccess = this.applyReading(state, reading, askedAt);
        if (this.isStopped || reading.kind === "history-lost" && this.failureCount === 1) {
            return;
        }
        state.updateReadingStore(isSuccess);
        if (!isSuccess) {
            await this.queryAnyPeer(state);
            await this.awaitRetryDelay();
            return;
        }
        state.reportPlace(platformPlace, "watches it for other nodes");
        if (state.view.serial !== serial) {
            await awaitDelay(this.options.clock, changeBatchMs);
        }
    }

    private readStore({ mustReadAll, view }: FleetState, waitMs: number): Promise<StoreReading> {
        const { reader } = this.options;
        return mustReadAll || !view.position
            ? reader.readAll({ allowStale: false })
            : this.storeWatch.watch(view.position, waitMs);
    }

    private applyReading(state: FleetState, reading: StoreReading, askedAt: Instant): boolean {
        if (this.isStopped) {
            return false;
        }
        const isSuccess = state.applyReading(reading, askedAt);
        this.failureCount = isSuccess ? 0 : this.failureCount + 1;
        return isSuccess;
    }

    private awaitRetryDelay(): Promise<void> {
        const { clock, sampleRandom } = this.options;
        const delayMs = Math.min(maxRetryDelayMs, initialRetryDelayMs * 2 ** Math.min(this.failureCount - 1, 8));
        return awaitDelay(clock, delayMs * (0.5 + sampleRandom() / 2));
    }

    private readNowMs(): number {
        return this.options.clock.readMonotonicMs();
    }
}
