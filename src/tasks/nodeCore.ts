/** Core of a node: all its tasks but those that own sockets. */
import { createRandom } from "../_lib/createRandom";
import { type LimitAlgorithm } from "../decisions/limitAlgorithms";
import { type Settings } from "../settings/types";
import { type Dispatch } from "./_lib/attempt";
import { type Clock } from "./_lib/clock";
import { TimerWheel } from "./_lib/timerWheel";
import { Admission } from "./admission";
import { type AuditEntry, AuditTrail } from "./audit";
import { CallLedger } from "./callLedger";
import { type NodeStatus, type Notice, type VersionReport } from "./control/router";
import { Directory } from "./directory";
import { Egress } from "./egress";
import { Forwarder, type PeerPools } from "./forwarder";
import { HomeGuard } from "./homeGuard";
import { Ingress } from "./ingress";
import { KeyRecords } from "./keyRecords";
import { Lifecycle } from "./lifecycle";
import { MessageBus } from "./messages";
import { NodeMetrics } from "./metrics";
import { Notices, type NoticeSender } from "./notices";
import { PauseDetector } from "./pauseDetector";
import { PolicyTask } from "./policy";
import { type PolicyPeer, PolicySync } from "./policySync";
import { Quarantine } from "./quarantine";
import { Shedder } from "./shedder";

/** Connections, clock, randomness and log of a `NodeCore`. */
export interface NodeCoreDependencies {
    /** Connection pool of the local upstream. */
    readonly upstream: Dispatch;
    readonly peerPools: PeerPools;
    readonly notices: NoticeSender;
    readonly policyPeer: PolicyPeer;
    readonly clock: Clock;
    readonly limitAlgorithm: LimitAlgorithm;
    /** Seed of the random numbers for all decisions of the node. */
    readonly seed: number;
    /** Creates a version 7 UUID. */
    readonly createId: () => string;
    /** Writes an entry of the audit trail to the log. */
    readonly writeAudit: (entry: AuditEntry) => void;
}

/** Creates the tasks of a node and connects them to each other. */
export class NodeCore {
    readonly bus = new MessageBus();
    readonly wheel: TimerWheel;
    readonly lifecycle = new Lifecycle(this.bus);
    readonly policy: PolicyTask;
    readonly directory: Directory;
    readonly ledger = new CallLedger();
    readonly keyRecords: KeyRecords;
    readonly admission: Admission;
    readonly shedder: Shedder;
    readonly quarantine: Quarantine;
    readonly metrics: NodeMetrics;
    readonly audit: AuditTrail;
    readonly forwarder: Forwarder;
    readonly ingress: Ingress;
    readonly egress: Egress;
    readonly policySync: PolicySync;
    readonly pauseDetector: PauseDetector;
    readonly homeGuard: HomeGuard;
    readonly sampleRandom: () => number;
    private readonly startedAtMs: number;
    private platformReached = false;

    constructor(private readonly settings: Settings, private readonly dependencies: NodeCoreDependencies) {
        const { clock, upstream, peerPools } = dependencies;
        const { failureDomain, endpoint } = settings;
        this.startedAtMs = clock.readMonotonicMs();
        this.sampleRandom = createRandom(dependencies.seed);
        this.wheel = new TimerWheel(clock);
        this.policy = new PolicyTask(this.bus, clock.readWallMs);
        this.directory = new Directory(clock);
        this.keyRecords = new KeyRecords(clock);
        this.admission = new Admission(this.wheel, clock.readMonotonicMs, dependencies.limitAlgorithm);
        this.pauseDetector = new PauseDetector(clock, this.bus);
        this.homeGuard = new HomeGuard(settings, this.bus);
        this.quarantine = new Quarantine(endpoint, clock, this.bus);
        this.shedder = new Shedder(clock.readMonotonicMs);
        this.audit = new AuditTrail(this.bus, endpoint, clock.readWallMs, dependencies.writeAudit);
        this.metrics = new NodeMetrics(() => ({
            ...this.admission.readStats(),
            keyRecords: this.keyRecords.size,
            policyVersion: this.policy.inForce?.version ?? 0,
            shares: this.shedder.listAdmissionProbabilities(),
        }));
        const { wheel, directory, ledger, metrics, policy, admission, keyRecords, shedder, quarantine, sampleRandom } =
            this;
        this.forwarder = new Forwarder({
            clock,
            wheel,
            directory,
            ledger,
            metrics,
            failureDomain,
            endpoint,
            sampleRandom,
            peerPools,
        });
        const { forwarder } = this;
        const isDraining = (): boolean => this.lifecycle.isDraining();
        const { createId } = dependencies;
        const sharedDependencies = { settings, clock, wheel, policy, ledger, forwarder, directory, createId };
        this.ingress = new Ingress({
            ...sharedDependencies,
            admission,
            keyRecords,
            pauseDetector: this.pauseDetector,
            homeGuard: this.homeGuard,
            shedder,
            quarantine,
            metrics,
            upstream,
            isDraining,
        });
        this.egress = new Egress(sharedDependencies);
        this.policySync = new PolicySync({
            settings,
            directory,
            policy,
            peer: dependencies.policyPeer,
            bus: this.bus,
            sampleRandom,
        });
        new Notices(settings, directory, dependencies.notices, this.bus);
        this.subscribe();
    }

    /** Publishes a notice from another node as a message; ignores a notice that names this node as its sender. */
    receiveNotice(notice: Notice): void {
        const { endpoint } = notice;
        if (endpoint === this.settings.endpoint) {
            return;
        }
        this.bus.publish(
            notice.kind === "leaving"
                ? { kind: "leavingReported", endpoint }
                : { kind: "suspectReported", endpoint, fingerprint: notice.fingerprint },
        );
    }

    /** Reads which policy version this node has in force; other nodes compare it with theirs. */
    readVersion(): VersionReport {
        const { inForce } = this.policy;
        return { endpoint: this.settings.endpoint, version: inForce?.version ?? 0, digest: inForce?.digest ?? "" };
    }

    readStatus(): NodeStatus {
        const { endpoint, service, failureDomain, region } = this.settings;
        const { inForce } = this.policy;
        const { clock } = this.dependencies;
        const usage = process.cpuUsage();
        return {
            endpoint,
            service,
            failureDomain,
            region,
            phase: this.lifecycle.phase,
            policyVersion: inForce?.version ?? 0,
            policyDigest: inForce?.digest ?? "",
            policySource: this.policy.source,
            policyConfirmed: this.policySync.isConfirmed(),
            policyAgeMs: inForce ? clock.readWallMs() - this.policy.adoptionTimeMs : 0,
            platformReached: this.platformReached,
            instancesKnown: this.directory.listInstances().length,
            ...this.admission.readStats(),
            keyRecords: this.keyRecords.size,
            home: this.homeGuard.state,
            shares: this.shedder.listAdmissionProbabilities(),
            refusals: this.metrics.listRefusals(),
            residentBytes: process.memoryUsage.rss(),
            processorSeconds: (usage.user + usage.system) / 1e6,
            uptimeSeconds: (clock.readMonotonicMs() - this.startedAtMs) / 1_000,
            binaryVersion: process.env["POMELOVALVE_VERSION"] ?? "development",
        };
    }

    private subscribe(): void {
        this.bus.subscribe("policyAdopted", message => {
            const servicePolicy = message.version.policy.services[this.settings.service];
            if (servicePolicy) {
                this.admission.updatePolicy(servicePolicy);
            }
        });
        this.bus.subscribe("instancesRead", message => {
            this.directory.updateInstances(message.instances);
            this.dependencies.peerPools.closeUnused(message.instances.map(instance => instance.peer));
            const own = this.directory.findInstance(this.settings.endpoint);
            if (own?.state === "leaving" || this.homeGuard.state === "replaced") {
                this.lifecycle.handle("listedLeaving");
            }
        });
        this.bus.subscribe("platformReached", message => {
            this.platformReached = message.reached;
        });
    }
}
