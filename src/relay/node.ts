/** A relay node: creates its components, connects them and opens the listeners. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Logger } from "pino";
import { createRandom } from "../_lib/createRandom";
import { relayTimerTickMs } from "../constants";
import { type RoutingTable } from "../routing/types";
import { HttpCallRequest } from "../tasks/_lib/callRequest";
import { type Clock, systemClock } from "../tasks/_lib/clock";
import { TimerWheel } from "../tasks/_lib/timerWheel";
import { AnswerTimes } from "./_lib/answerTimes";
import { createLoadReport } from "./_lib/createLoadReport";
import { deriveControlAddress } from "./_lib/deriveAddresses";
import { listControlAddresses } from "./_lib/listControlAddresses";
import { RetryBudgets } from "./_lib/retryBudgets";
import { ActiveRequests } from "./activeRequests";
import { createAdminHandler } from "./adminHandler";
import { awaitDrained } from "./awaitDrained";
import { createControlHandler } from "./control";
import { createPeers } from "./createPeers";
import { Entry, type SendHop } from "./entry";
import { Ingress } from "./ingress";
import { emptyHopStats, type HopStats } from "./ingress/servedHop";
import { isListening } from "./isListening";
import { KnownUpstreams } from "./knownUpstreams";
import { LocalConnections } from "./localConnections";
import { LocalUpstream } from "./localUpstream";
import { EventLog } from "./log";
import { RelayMetrics } from "./metrics";
import { Organisations } from "./organisations";
import { PauseGuard } from "./pauseGuard";
import { type Peers } from "./peers";
import { PoisonGuard } from "./poisonGuard";
import { RelayListeners } from "./relayListeners";
import { ActiveRouting } from "./routing";
import { Shedding } from "./shedding";
import { SlotQueue } from "./slotQueue";
import { type FleetSource } from "./source";
import { createSourceListener } from "./sourceListener";
import { Stopping } from "./stopping";
import { type HeaderNames, type HopRequest, type LoadReport, type RelaySettings } from "./types";
import { UpstreamDirectory } from "./upstreamDirectory";
import { createListOrigin } from "./upstreamListLog";
import { ViewSync } from "./viewSync";

/** The node process that runs next to one upstream. */
export class RelayNode {
    private readonly wheel: TimerWheel;
    private readonly log: EventLog;
    private readonly routing: ActiveRouting;
    private readonly organisations: Organisations;
    private readonly directory: UpstreamDirectory;
    private readonly knownUpstreams: KnownUpstreams;
    private readonly shedding: Shedding;
    private readonly activeRequests: ActiveRequests;
    private readonly retryBudgets: RetryBudgets;
    private readonly slots: SlotQueue;
    private readonly metrics: RelayMetrics;
    private readonly peers: Peers;
    private readonly ingress: Ingress;
    private readonly entry: Entry;
    private readonly poisonGuard: PoisonGuard;
    private readonly viewSync: ViewSync;
    private readonly pauseGuard: PauseGuard;
    private readonly upstreamConnections: LocalConnections;
    private listeners: RelayListeners | undefined;
    private readonly localUpstream: LocalUpstream;
    private readonly stopping: Stopping;
    private lastEntryAtMs = 0;

    constructor(
        private settings: RelaySettings,
        headerNames: HeaderNames,
        private readonly source: FleetSource,
        logger: Logger,
        private readonly clock: Clock = systemClock,
    ) {
        const { readMonotonicMs: readNowMs } = clock;
        const sampleRandom = createRandom(process.pid ^ clock.readWallMs());
        const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings;
        this.wheel = new TimerWheel(clock, relayTimerTickMs);
        this.log = new EventLog(logger, readNowMs);
        this.routing = new ActiveRouting(sampleRandom, (table, from) => this.handleAdoption(table, from));
        this.organisations = new Organisations(settings, {
            keyNames: headerNames,
            readTableAgeMs: () => source.readTableAgeMs(),
            clock,
            queryTokens: (host, query, onAnswer) => this.peers.queryTokens(host, query, onAnswer),
            onHolder: (host, reason) => this.log.writeState("quota-holder-changed", { host, reason }),
        });
        this.directory = new UpstreamDirectory(settings.failureDomain, readNowMs);
        this.shedding = new Shedding(readNowMs);
        this.activeRequests = new ActiveRequests(headerNames.callSeparator);
        this.retryBudgets = new RetryBudgets({ ratio, slack, windowMs }, readNowMs);
        this.stopping = new Stopping(() => this.settings, readNowMs);
        this.slots = new SlotQueue(this.wheel, readNowMs);
        this.localUpstream = new LocalUpstream({ headerNames, slots: this.slots, log: this.log, readNowMs });
        this.knownUpstreams = new KnownUpstreams({
            directory: this.directory,
            retryBudgets: this.retryBudgets,
            localUpstream: this.localUpstream,
            organisations: this.organisations,
            log: this.log,
            readOwnAddress: () => this.settings.upstream,
        });
        this.upstreamConnections = new LocalConnections(settings.upstream, readNowMs);
        const readRoutingStats = () => ({
            version: this.routing.version,
            upstreams: this.directory.list().length,
            learnedAgeMs: source.readLearnedAgeMs(),
        });
        this.metrics = new RelayMetrics(() => ({ ...this.slots.readStats(), ...readRoutingStats() }));
        this.pauseGuard = new PauseGuard(clock, this.log);
        this.poisonGuard = new PoisonGuard(settings.node, clock, {
            log: this.log,
            listControlAddresses: () => listControlAddresses(this.directory.list(), this.settings),
            isUpstreamListening: () => isListening(this.settings.upstream),
        });
        this.viewSync = this.createViewSync();
        const { wheel, routing, viewSync, directory, log } = this;
        this.peers = createPeers(settings, { clock, wheel, routing, viewSync, source, directory, log });
        this.ingress = this.createIngress(headerNames);
        this.entry = this.createEntry(headerNames, sampleRandom);
    }

    /** Opens the listeners, then starts the source; rejects if an address can't be bound. */
    async start(): Promise<void> {
        this.listeners = await RelayListeners.open(this.settings, {
            onEntry: (request, response) => this.handleEntry(request, response),
            onPeer: (request, response) =>
                this.ingress.handle(new HttpCallRequest(request, response), request.socket.remoteAddress ?? ""),
            onAdmin: createAdminHandler({
                readinessPath: this.settings.readinessPath,
                isReady: () => this.isReady(),
                registry: this.metrics.registry,
            }),
            onControl: createControlHandler({
                readView: () => ({ table: this.routing.table, upstreams: this.directory.list() }),
                awaitChanges: query => this.source.awaitChanges(query),
                describeTable: version => this.source.describeTable(version),
                receiveSuspect: (fingerprint, node) => this.poisonGuard.receiveSuspect(fingerprint, node),
            }),
            linkDependencies: {
                serve: (hopRequest, handler) => this.ingress.serve(hopRequest, handler),
                serveTokens: (host, query) => this.organisations.tokens.serve(host, query),
                computeDeadline: remainingMs => this.ingress.computeDeadline(remainingMs),
                onVersionSeen: (host, version) => this.viewSync.observe(host, version),
                onFrameFailed: error => this.log.writeFailure("frame-failed", error),
                createStreamReport: hopRequest => this.createReport(hopRequest, emptyHopStats),
            },
        });
        this.peers.start();
        this.organisations.tokens.start();
        this.pauseGuard.start();
        this.source.start(createSourceListener({
            routing: this.routing,
            log: this.log,
            metrics: this.metrics,
            onUpstreams: (records, origin) => this.knownUpstreams.updateFromSource(records, origin),
        }));
    }

    /** Applies changed settings. The listeners, the retry budget and the failure domain keep their initial settings. */
    updateSettings(settings: RelaySettings): void {
        this.settings = settings;
        const isUpstreamMoved = this.upstreamConnections.updateAddress(settings.upstream);
        this.log.writeAlways("settings-reloaded", { service: settings.service, upstreamMoved: isUpstreamMoved });
        this.knownUpstreams.update(this.directory.list(), createListOrigin("settings"));
    }

    /** Stops the node. The upstream gets no new requests; callers are served until they leave or time runs out. */
    async stop(): Promise<void> {
        if (!this.stopping.tryBegin()) {
            return;
        }
        this.log.writeAlways("stop-requested", { pending: this.entry.pending, atUpstream: this.ingress.pending });
        await awaitDrained({
            readPending: () => this.entry.pending + this.ingress.pending,
            readLastEntryMs: () => this.lastEntryAtMs,
            readNowMs: this.clock.readMonotonicMs,
            leaveAfterMs: this.settings.leaveAfterMs,
            graceMs: this.settings.stopGraceMs,
        });
        this.log.writeAlways("node-stopping", { pending: this.entry.pending, atUpstream: this.ingress.pending });
        this.source.stop();
        this.stopping.beginClosing();
        await this.listeners?.close(() => this.entry.expirePending());
        this.peers.stop();
        this.organisations.tokens.stop();
        this.pauseGuard.stop();
        this.upstreamConnections.abort();
        this.wheel.stop();
    }

    private createViewSync(): ViewSync {
        return new ViewSync({
            readVersion: () => this.routing.version,
            controlPort: deriveControlAddress(this.settings.peers).port,
            onViewReceived: (view, host) => {
                if (view.table) {
                    this.routing.adopt(view.table, host);
                }
                if (this.knownUpstreams.tryUpdateFromNode(view.upstreams, host)) {
                    this.source.receivePeers(view.upstreams);
                }
            },
            onFailed: (host, detail) =>
                this.log.write("view-unavailable", { host, version: this.routing.version, detail }),
            readNowMs: this.clock.readMonotonicMs,
        });
    }

    private createIngress(headerNames: HeaderNames): Ingress {
        return new Ingress({
            headerNames,
            upstream: this.upstreamConnections,
            slots: this.slots,
            wheel: this.wheel,
            readNowMs: this.clock.readMonotonicMs,
            readStaleMs: () => this.pauseGuard.readStaleMs(),
            isQuarantined: hopRequest => this.poisonGuard.isQuarantined(hopRequest),
            onConnectionLost: (hopRequest, wasSent) => this.poisonGuard.recordConnectionLoss(hopRequest, wasSent),
            onAnswerHead: rawHeaders => this.localUpstream.observeAnswer(rawHeaders),
            onForeignAnswer: () => this.upstreamConnections.recordForeignAnswer(),
            onAnswered: hopRequest => this.poisonGuard.recordAnswer(hopRequest),
            activeRequests: this.activeRequests,
            log: this.log,
            readMaxBodyBytes: () => this.routing.limits?.maxBodyBytes ?? Infinity,
            createReport: (hopRequest, stats) => this.createReport(hopRequest, stats),
            onVersionSeen: (host, version) => this.viewSync.observe(host, version),
            isLeaving: () => this.isLeaving(),
            readLeavingMs: () => this.localUpstream.leaving.readLeavingMs(),
        });
    }

    private createEntry(headerNames: HeaderNames, sampleRandom: () => number): Entry {
        return new Entry({
            headerNames,
            readService: () => this.settings.service,
            routing: this.routing,
            organisations: this.organisations,
            directory: this.directory,
            shedding: this.shedding,
            activeRequests: this.activeRequests,
            retryBudgets: this.retryBudgets,
            answerTimes: new AnswerTimes(),
            wheel: this.wheel,
            log: this.log,
            metrics: this.metrics,
            sendHop: (hopRequest, handler) => this.sendHop(hopRequest, handler),
            readNowMs: this.clock.readMonotonicMs,
            readStaleMs: () => this.pauseGuard.readStaleMs(),
            computeTimeLeftMs: () => this.stopping.computeTimeLeftMs(),
            sampleRandom,
        });
    }

    private handleEntry(request: IncomingMessage, response: ServerResponse): void {
        this.lastEntryAtMs = this.clock.readMonotonicMs();
        this.entry.handle(new HttpCallRequest(request, response));
    }

    private sendHop(...[hopRequest, handler]: Parameters<SendHop>): ReturnType<SendHop> {
        const record = this.directory.find(hopRequest.upstreamId);
        const { host, port } = this.settings.upstream;
        if (record && record.host === host && record.port === port) {
            return this.ingress.serve(hopRequest, handler);
        }
        return this.peers.send(record?.host ?? "", hopRequest, handler);
    }

    private createReport(hopRequest: HopRequest, stats: HopStats): LoadReport {
        return createLoadReport(this.slots, hopRequest, stats, {
            leaving: this.isLeaving(),
            version: this.routing.version,
            tableAgeMs: this.source.readTableAgeMs(),
        });
    }

    /** Whether callers may send requests. A node that can't reach the platform serves what it knows and is ready. */
    private isReady(): boolean {
        return !this.stopping.hasBegun && this.routing.table !== undefined && !this.source.isFailing();
    }

    private isLeaving(): boolean {
        return this.stopping.hasBegun || this.localUpstream.leaving.isToleranceOver();
    }

    private handleAdoption(table: RoutingTable, from: string): void {
        this.organisations.adopt(table);
        const { version, routes, organisations = [] } = table;
        const counts = { routes: routes.length, organisations: organisations.length };
        this.log.writeAlways("routing-adopted", { version, ...counts, source: from });
    }
}
