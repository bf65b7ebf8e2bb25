/** A call graph of node cores and fake upstreams on one virtual clock. */
import { AimdLimit, type LimitAlgorithm } from "../decisions/limitAlgorithms";
import { createPolicyLog } from "../policy/createPolicyLog";
import { type Policy, type PolicyLog } from "../policy/types";
import { type Settings } from "../settings/types";
import { type UpstreamRoute } from "../standins/types";
import { type AuditEntry } from "../tasks/audit";
import { type Notice } from "../tasks/control/router";
import { NodeCore } from "../tasks/nodeCore";
import { type PolicyPeer } from "../tasks/policySync";
import { type Address, type Instance } from "../types";
import { createIdSource } from "./createIdSource";
import { type FakeCallRequest, FakeDispatch, type LinkState } from "./fakeExchange";
import { FakeUpstream, type UpstreamRun } from "./fakeUpstream";
import { type VirtualClock } from "./virtualClock";

export interface VirtualGraphOptions {
    readonly clock: VirtualClock;
    readonly policy: Policy;
    readonly upstreamRoutes: Readonly<Record<string, readonly UpstreamRoute[]>>;
    readonly seed: number;
    /** Algorithm of the concurrency limits; by default additive increase, multiplicative decrease (AIMD). */
    readonly limitAlgorithm?: LimitAlgorithm;
    /** Actual slots of upstreams, by service, where they differ from the policy. */
    readonly realSlots?: Readonly<Record<string, number>>;
    readonly recordRun?: (run: UpstreamRun) => void;
    readonly recordRetry?: () => void;
    readonly recordAudit?: (entry: AuditEntry) => void;
}

export interface VirtualEndpoint {
    readonly settings: Settings;
    readonly core: NodeCore;
    readonly upstream: FakeUpstream;
}

const host = "127.0.0.1";
const firstPort = 10_000;
const peerLatencyMs = 1;
const localLatencyMs = 0.1;
const changeMetadata = { author: "test", time: "2026-01-01T00:00:00.000Z", reason: "first version" };

/** Creates the settings of an endpoint; its ports are derived from its index. */
export const createSettings = (endpoint: string, service: string, failureDomain: string, index: number): Settings => {
    const createAddress = (offset: number): Address => ({ host, port: firstPort + index * 10 + offset });
    return {
        endpoint,
        service,
        failureDomain,
        region: "test-region",
        listen: {
            callers: createAddress(0),
            peers: createAddress(1),
            egress: createAddress(2),
            control: createAddress(3),
        },
        upstream: createAddress(4),
        platform: { address: { host, port: 1 }, policyKey: "policy", instancesKey: "instances" },
        seeds: [],
        callers: [],
        maxRequestBodyBytes: 1024 * 1024,
        logLevel: "error",
    };
};

/** Creates the platform's list of instances from the settings of their nodes. */
export const createInstances = (settings: readonly Settings[]): readonly Instance[] =>
    settings.map(({ endpoint, service, failureDomain, listen }) => ({
        endpoint,
        service,
        failureDomain,
        peer: listen.peers,
        control: listen.control,
        state: "live",
    }));

/** Disables policy sync between nodes, since promises don't run on the virtual clock; other tests cover it. */
const unreachablePeer: PolicyPeer = {
    readVersion: () => Promise.resolve(undefined),
    readLog: () => Promise.resolve(undefined),
};

/** Creates a node core and a fake upstream for each endpoint, and injects faults into the links between nodes. */
export class VirtualGraph {
    readonly clock: VirtualClock;
    readonly endpoints = new Map<string, VirtualEndpoint>();
    readonly policyLog: PolicyLog;
    private readonly endpointByPort = new Map<number, VirtualEndpoint>();
    private readonly partitionedPairs = new Set<string>();
    private readonly refusingEndpoints = new Set<string>();

    constructor(private readonly options: VirtualGraphOptions) {
        this.clock = options.clock;
        const log = createPolicyLog(options.policy, changeMetadata);
        if (!log.ok) {
            throw new Error(JSON.stringify(log.faults));
        }
        this.policyLog = log.value;
        const endpoints = Object.entries(options.policy.services).flatMap(([service, policy]) =>
            policy.endpoints.map(endpoint => ({ service, slots: policy.slots, ...endpoint }))
        );
        endpoints.forEach((endpoint, index) => this.addEndpoint(endpoint, index));
        this.publishPolicy(this.policyLog, 1);
        this.publishInstances(this.listInstances());
        this.endpoints.forEach(({ core }) => core.lifecycle.handle("started"));
    }

    getEndpoint(name: string): VirtualEndpoint {
        return this.endpoints.get(name)!;
    }

    /** Lists all instances in the platform's format. */
    listInstances(): readonly Instance[] {
        return createInstances([...this.endpoints.values()].map(({ settings }) => settings));
    }

    /** Publishes a policy log to the named nodes, by default to all, as a platform value with this revision. */
    publishPolicy(log: PolicyLog, revision: number, endpointNames = [...this.endpoints.keys()]): void {
        const text = JSON.stringify(log);
        endpointNames.forEach(name =>
            this.getEndpoint(name).core.bus.publish({ kind: "policyLogRead", text, revision, source: "platform" })
        );
    }

    /** Publishes an instance list to the named nodes, by default to all. */
    publishInstances(instances: readonly Instance[], endpointNames = [...this.endpoints.keys()]): void {
        endpointNames.forEach(name =>
            this.getEndpoint(name).core.bus.publish({ kind: "instancesRead", instances, revision: 1 })
        );
    }

    /** Starts or ends a network partition between two failure domains. */
    updatePartition(firstDomain: string, secondDomain: string, isPartitioned: boolean): void {
        [`${firstDomain} ${secondDomain}`, `${secondDomain} ${firstDomain}`].forEach(pair => {
            if (isPartitioned) {
                this.partitionedPairs.add(pair);
                return;
            }
            this.partitionedPairs.delete(pair);
        });
    }

    /** Makes an endpoint refuse connections from other nodes, or accept them again. */
    updateConnectionRefusal(endpoint: string, refuses: boolean): void {
        if (refuses) {
            this.refusingEndpoints.add(endpoint);
            return;
        }
        this.refusingEndpoints.delete(endpoint);
    }

    /** Sends a direct request to the node of an endpoint; partitions and refused connections don't affect it. */
    send(endpoint: string, request: FakeCallRequest): void {
        this.getEndpoint(endpoint).core.ingress.handle(request, "caller");
    }

    private addEndpoint(
        endpoint: {
            readonly service: string;
            readonly name: string;
            readonly failureDomain: string;
            readonly slots: number;
        },
        index: number,
    ): void {
        const { service, name, failureDomain, slots } = endpoint;
        const { clock, options } = this;
        const settings = createSettings(name, service, failureDomain, index);
        const upstream = new FakeUpstream(clock, {
            endpoint: name,
            slots: options.realSlots?.[service] ?? slots,
            seed: options.seed * 1_000 + index,
            routes: options.upstreamRoutes[service] ?? [],
            sendNestedRequest: (targetService, request) => this.getEndpoint(name).core.egress.handle(request),
            recordRun: options.recordRun ?? (() => undefined),
        });
        const readLocalLink = (): LinkState => ({
            latencyMs: localLatencyMs,
            isPartitioned: false,
            refusesConnections: upstream.isDown(),
        });
        const core = new NodeCore(settings, {
            clock,
            limitAlgorithm: options.limitAlgorithm ?? new AimdLimit(),
            seed: options.seed * 2_000 + index,
            upstream: new FakeDispatch(clock, readLocalLink, request => upstream.handle(request)),
            policyPeer: unreachablePeer,
            notices: { send: (address, notice) => this.sendNotice(failureDomain, address, notice) },
            peerPools: { open: address => this.openPeer(failureDomain, address), closeUnused: () => undefined },
            createId: createIdSource(clock, options.seed * 3_000 + index),
            writeAudit: options.recordAudit ?? (() => undefined),
        });
        core.metrics.onRetry = options.recordRetry;
        const virtualEndpoint: VirtualEndpoint = { settings, core, upstream };
        this.endpoints.set(name, virtualEndpoint);
        this.endpointByPort.set(settings.listen.peers.port, virtualEndpoint);
        this.endpointByPort.set(settings.listen.control.port, virtualEndpoint);
    }

    /**
     * Delivers a notice unless the link is partitioned or the target refuses connections.
     * Resolves to false only in a partition; a notice to a target that refuses connections counts as delivered.
     */
    private sendNotice(fromDomain: string, address: Address, notice: Notice): Promise<boolean> {
        const target = this.endpointByPort.get(address.port)!;
        const isPartitioned = this.partitionedPairs.has(`${fromDomain} ${target.settings.failureDomain}`);
        if (!isPartitioned && !this.refusingEndpoints.has(target.settings.endpoint)) {
            this.clock.schedule(peerLatencyMs, () => target.core.receiveNotice(notice));
        }
        return Promise.resolve(!isPartitioned);
    }

    private openPeer(fromDomain: string, address: Address): FakeDispatch {
        const target = this.endpointByPort.get(address.port)!;
        const { endpoint, failureDomain } = target.settings;
        const readLink = (): LinkState => ({
            latencyMs: peerLatencyMs,
            isPartitioned: this.partitionedPairs.has(`${fromDomain} ${failureDomain}`),
            refusesConnections: this.refusingEndpoints.has(endpoint),
        });
        return new FakeDispatch(this.clock, readLink, request => target.core.ingress.handle(request, "peer"));
    }
}
