/** Composition of the tasks of one node. */
import { type Logger } from "pino";
import { Pool } from "undici";
import { createRandom } from "../_lib/createRandom";
import { defaultDrainLimitMs, peerConnections } from "../constants";
import { type Settings } from "../settings/types";
import { type Clock, systemClock } from "./_lib/clock";
import { TimerWheel } from "./_lib/timerWheel";
import { Admission } from "./admission";
import { type AuditEntry, AuditTrail } from "./audit";
import { Control } from "./control";
import { type NodeStatus } from "./control/router";
import { Directory } from "./directory";
import { Egress } from "./egress";
import { Forwarder } from "./forwarder";
import { Ingress } from "./ingress";
import { KeyRecords } from "./keyRecords";
import { Ledger } from "./ledger";
import { Lifecycle } from "./lifecycle";
import { MessageBus } from "./messages";
import { NodeMetrics } from "./metrics";
import { HttpPlatform, PlatformTask } from "./platform";
import { PolicyTask } from "./policy";

const drainPollMs = 20;

/** One node: the process in the slot beside an upstream. */
export class PomelovalveNode {
    private readonly bus = new MessageBus();
    private readonly wheel: TimerWheel;
    private readonly lifecycle = new Lifecycle(this.bus);
    private readonly policy: PolicyTask;
    private readonly directory: Directory;
    private readonly ledger = new Ledger();
    private readonly keyRecords: KeyRecords;
    private readonly admission: Admission;
    private readonly metrics: NodeMetrics;
    private readonly audit: AuditTrail;
    private readonly platform: PlatformTask;
    private readonly forwarder: Forwarder;
    private readonly ingress: Ingress;
    private readonly egress: Egress;
    private readonly control: Control;
    private readonly startedAtMs: number;
    private platformReached = false;

    constructor(
        private readonly settings: Settings,
        private readonly logger: Logger,
        private readonly clock: Clock = systemClock,
    ) {
        this.startedAtMs = clock.readMonotonicMs();
        this.wheel = new TimerWheel(clock);
        this.policy = new PolicyTask(this.bus, clock.readWallMs);
        this.directory = new Directory(clock);
        this.keyRecords = new KeyRecords(clock);
        this.admission = new Admission(this.wheel, clock.readMonotonicMs);
        const { bus, wheel, lifecycle, policy, directory, ledger, keyRecords, admission } = this;
        const sampleRandom = createRandom(process.pid ^ clock.readWallMs());
        const isDraining = (): boolean => lifecycle.isDraining();
        this.metrics = new NodeMetrics(() => ({
            ...admission.readFigures(),
            keyRecords: keyRecords.size,
            policyVersion: policy.inForce?.version ?? 0,
        }));
        const { metrics } = this;
        const { failureDomain } = settings;
        this.audit = new AuditTrail(bus, settings.endpoint, clock.readWallMs, entry => this.writeAudit(entry));
        this.platform = new PlatformTask(createPlatform(settings), settings.platform, bus, sampleRandom);
        this.forwarder = new Forwarder({ clock, wheel, directory, ledger, metrics, failureDomain, sampleRandom });
        const { forwarder } = this;
        this.ingress = new Ingress({
            settings,
            clock,
            wheel,
            policy,
            admission,
            ledger,
            keyRecords,
            forwarder,
            metrics,
            isDraining,
        });
        this.egress = new Egress({ settings, clock, policy, ledger, forwarder });
        this.control = new Control(settings.listen.control, {
            registry: metrics.registry,
            isReady: () => lifecycle.phase === "serving" && policy.inForce !== undefined,
            readStatus: () => this.readStatus(),
            listAudit: after => this.audit.list(after),
        });
        this.subscribe();
    }

    async start(): Promise<void> {
        await Promise.all([this.ingress.start(), this.egress.start(), this.control.start()]);
        this.platform.start();
        this.lifecycle.handle("started");
    }

    /** Takes no new work, lets the work in flight end, and closes everything. */
    async drain(): Promise<void> {
        if (this.lifecycle.isDraining()) {
            return;
        }
        this.lifecycle.handle("stopRequested");
        const limitMs = this.policy.inForce?.policy.drainLimitMs ?? defaultDrainLimitMs;
        const isDrained = await this.awaitIdle(limitMs);
        this.lifecycle.handle(isDrained ? "drained" : "drainExpired");
        await Promise.all([this.ingress.stop(), this.platform.stop()]);
        await Promise.all([this.egress.stop(), this.forwarder.stop(), this.control.stop()]);
        this.wheel.stop();
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
            this.forwarder.closeUnusedPools(message.instances.map(instance => instance.peer));
        });
        this.bus.subscribe("platformReached", message => {
            this.platformReached = message.reached;
            const event = message.reached ? "platform-reached" : "platform-lost";
            this.logger.info({ detail: message.detail || undefined }, event);
        });
    }

    private async awaitIdle(limitMs: number): Promise<boolean> {
        const endMs = this.clock.readMonotonicMs() + limitMs;
        while (this.ingress.pending > 0) {
            if (this.clock.readMonotonicMs() > endMs) {
                return false;
            }
            await new Promise(resolve => setTimeout(resolve, drainPollMs));
        }
        return true;
    }

    private writeAudit(entry: AuditEntry): void {
        this.logger.info({ sequence: entry.sequence, ...entry.fields }, entry.event);
    }

    /** Reads what the node tells operators of itself. */
    readStatus(): NodeStatus {
        const { endpoint, service, failureDomain, region } = this.settings;
        const { inForce } = this.policy;
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
            policyAgeMs: inForce ? this.clock.readWallMs() - this.policy.adoptedAt : 0,
            platformReached: this.platformReached,
            instancesKnown: this.directory.listInstances().length,
            ...this.admission.readFigures(),
            keyRecords: this.keyRecords.size,
            refusals: this.metrics.listRefusals(),
            residentBytes: process.memoryUsage.rss(),
            processorSeconds: (usage.user + usage.system) / 1e6,
            uptimeSeconds: (this.clock.readMonotonicMs() - this.startedAtMs) / 1_000,
            binaryVersion: process.env["POMELOVALVE_VERSION"] ?? "development",
        };
    }
}

const createPlatform = (settings: Settings): HttpPlatform => {
    const { host, port } = settings.platform.address;
    const origin = `http://${host}:${port}`;
    return new HttpPlatform(origin, new Pool(origin, { connections: peerConnections, pipelining: 1 }));
};
