/** A node with its network connections: the core, its listeners, and the clients of the platform and other nodes. */
import { type Logger } from "pino";
import { Pool } from "undici";
import { v7 } from "uuid";
import { defaultDrainLimitMs, maxConnectionsPerOrigin, poolKeepAliveMs } from "../constants";
import { AimdLimit } from "../decisions/limitAlgorithms";
import { type Settings } from "../settings/types";
import { type Clock, systemClock } from "./_lib/clock";
import { type AuditEntry } from "./audit";
import { Control } from "./control";
import { type NodeStatus } from "./control/router";
import { HttpPeerPools } from "./forwarder/peerPools";
import { Listeners } from "./listeners";
import { NodeCore } from "./nodeCore";
import { TrpcNoticeSender } from "./notices";
import { HttpPlatform, PlatformTask } from "./platform";
import { TrpcPolicyPeer } from "./policySync";

/** Interval between two checks of `drain` for pending requests. */
const drainPollMs = 20;

/** Node that runs beside an upstream and handles its incoming and outgoing requests. */
export class PomelovalveNode {
    private readonly core: NodeCore;
    private readonly upstream: Pool;
    private readonly peerPools = new HttpPeerPools();
    private readonly platform: PlatformTask;
    private readonly listeners: Listeners;
    private readonly control: Control;
    private stopping = false;

    constructor(
        settings: Settings,
        private readonly logger: Logger,
        private readonly clock: Clock = systemClock,
    ) {
        this.upstream = createUpstreamPool(settings);
        const { upstream, peerPools } = this;
        const seed = process.pid ^ clock.readWallMs();
        const writeAudit = (entry: AuditEntry): void => this.writeAudit(entry);
        this.core = new NodeCore(settings, {
            upstream,
            peerPools,
            notices: new TrpcNoticeSender(),
            policyPeer: new TrpcPolicyPeer(),
            clock,
            limitAlgorithm: new AimdLimit(),
            seed,
            createId: () => v7(),
            writeAudit,
        });
        const { bus, ingress, egress, metrics, lifecycle, policy, audit, sampleRandom } = this.core;
        this.platform = new PlatformTask(
            createPlatform(settings),
            settings.platform,
            bus,
            sampleRandom,
            clock,
        );
        this.listeners = new Listeners(settings.listen, ingress, egress);
        this.control = new Control(settings.listen.control, {
            registry: metrics.registry,
            isReady: () => lifecycle.phase === "serving" && policy.inForce !== undefined,
            readStatus: () => this.readStatus(),
            listAudit: after => audit.list(after),
            readVersion: () => this.core.readVersion(),
            readPolicyLog: () => policy.logText,
            receiveNotice: notice => this.core.receiveNotice(notice),
        });
        bus.subscribe("platformReached", message => {
            const event = message.reached ? "platform-reached" : "platform-lost";
            this.logger.info({ detail: message.detail || undefined }, event);
        });
    }

    /** Opens all listeners, then starts to serve; rejects if an address can't be bound. */
    async start(): Promise<void> {
        await Promise.all([this.listeners.start(), this.control.start()]);
        this.platform.start();
        this.core.policySync.start();
        this.core.pauseDetector.start();
        this.core.lifecycle.handle("started");
    }

    readStatus(): NodeStatus {
        return this.core.readStatus();
    }

    /** Refuses new requests, waits up to the policy's drain limit for pending ones, then closes all sockets. */
    async drain(): Promise<void> {
        if (this.stopping) {
            return;
        }
        this.stopping = true;
        const { lifecycle, policy, wheel } = this.core;
        lifecycle.handle("stopRequested");
        this.core.policySync.stop();
        this.core.pauseDetector.stop();
        const limitMs = policy.inForce?.policy.drainLimitMs ?? defaultDrainLimitMs;
        const isDrained = await this.awaitIdle(limitMs);
        lifecycle.handle(isDrained ? "drained" : "drainExpired");
        await Promise.all([this.listeners.stopIngress(), this.platform.stop()]);
        await this.listeners.stopEgress();
        await Promise.all([this.upstream.close(), this.peerPools.stop(), this.control.stop()]);
        wheel.stop();
    }

    /** Waits until no request is pending; resolves with false if that takes longer than `limitMs` milliseconds. */
    private async awaitIdle(limitMs: number): Promise<boolean> {
        const limitAtMs = this.clock.readMonotonicMs() + limitMs;
        while (this.core.ingress.pendingCount > 0) {
            if (this.clock.readMonotonicMs() > limitAtMs) {
                return false;
            }
            await new Promise(resolve => setTimeout(resolve, drainPollMs));
        }
        return true;
    }

    private writeAudit(entry: AuditEntry): void {
        this.logger.info({ sequence: entry.sequence, ...entry.fields }, entry.event);
    }
}

const createUpstreamPool = (settings: Settings): Pool => {
    const { host, port } = settings.upstream;
    return new Pool(`http://${host}:${port}`, {
        pipelining: 1,
        keepAliveTimeout: poolKeepAliveMs,
        connect: { timeout: 1_000 },
    });
};

const createPlatform = (settings: Settings): HttpPlatform => {
    const { host, port } = settings.platform.address;
    const origin = `http://${host}:${port}`;
    return new HttpPlatform(origin, new Pool(origin, { connections: maxConnectionsPerOrigin, pipelining: 1 }));
};
