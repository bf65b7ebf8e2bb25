/** Keeps a node's view of the fleet current: two nodes of each failure domain watch the store, the others ask them. */
import { type UpstreamRecord } from "../../routing/types";
import { awaitDelay } from "../../tasks/_lib/clock";
import { type Instant } from "../../types";
import { type FleetSource, type SourceListener } from "../source";
import { DirectReads } from "./directReads";
import { FleetState, platformPlace } from "./fleetState";
import { LearningLoops } from "./learningLoops";
import { PeerLookup, type PeerLookupOptions } from "./peerLookup";
import { type RankingPlace } from "./peerRanking";
import { StoreCheck } from "./storeCheck";
import { StoreWatch } from "./storeWatch";
import { type TableEvidence } from "./tableProof";
import { TableProver } from "./tableProver";
import { type ChangesQuery, type FleetChanges, type StoreReading, type TableAnswer } from "./types";
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
/** Place of a node, its means to read changes, and its sources of time and chance. */
export interface FleetTrackerOptions extends RankingPlace, PeerLookupOptions {
    /** Id of this node's view, unique over nodes and restarts. */
    readonly viewId: string;
}

/** Reads the store, or asks nodes that do, and answers the queries of other nodes. */
export class FleetTracker implements FleetSource {
    private state: FleetState | undefined;
    private prover: TableProver | undefined;
    private loops: LearningLoops | undefined;
    private isStopped = false;
    /** Whether the store is further than the nodes that were asked. */
    private isBehind = false;
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
        const state = new FleetState(this.options, listener);
        const lookup = new PeerLookup(
            this.options,
            state,
            (reading, askedAt) => this.applyReading(state, reading, askedAt),
        );
        const prover = new TableProver(this.options, state, listener);
        const storeCheck = this.createStoreCheck(state);
        this.state = state;
        this.prover = prover;
        this.loops = new LearningLoops(
            [
                { name: "fleet", runTurn: () => this.runTurn(state, lookup) },
                { name: "table-proof", runTurn: () => prover.run() },
                { name: "store-check", runTurn: () => storeCheck.run() },
            ],
            this.options.clock,
            (task, error) => {
                state.updateReadingStore(false);
                listener.onLearningFailed(task, error);
            },
        );
        this.loops.start();
    }

    stop(): void {
        this.isStopped = true;
        this.loops?.stop();
        this.prover?.stop();
        this.options.reader.close();
        this.options.client.close();
        this.state?.releaseWaiters();
    }

    isFailing(): boolean {
        return this.loops?.isFailing ?? false;
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

    /** Learns once: looks for other nodes after the start, then watches the store or asks the nodes that do. */
    private async runTurn(state: FleetState, lookup: PeerLookup): Promise<void> {
        if (!lookup.isOver) {
            await lookup.run();
            return;
        }
        const watchers = this.listWatchers(state);
        await (watchers.length === 0 ? this.watchStore(state) : this.queryWatchers(state, watchers));
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
        if (this.isBehind) {
            this.isBehind = false;
            watchers.forEach(host => this.recordPeerFailure(state, host, "is behind the platform"));
            await this.readChanges(state);
            return;
        }
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

    /** Only a node that asks others needs the check; one that watches the store knows when that has failed. */
    private createStoreCheck(state: FleetState): StoreCheck {
        return new StoreCheck({
            ...this.options,
            readOwnPosition: () => state.isReadingStore ? undefined : state.view.position,
            onBehind: () => {
                this.isBehind = true;
            },
        });
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
        const { position } = state.view;
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
        // Also when the change is another program's and concerns no node.
        if (state.view.position?.revision !== position?.revision) {
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
