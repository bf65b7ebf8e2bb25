/** Cores of nodes and fake upstreams of one call graph, on one virtual clock. */
import { AdditiveLimit, type LimitLaw } from "../decisions/limitLaws";
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

/** What a virtual graph is made of. */
export interface VirtualGraphOptions {
    readonly clock: VirtualClock;
    readonly policy: Policy;
    readonly upstreamRoutes: Readonly<Record<string, readonly UpstreamRoute[]>>;
    readonly seed: number;
    /** Law of the concurrency limits; the one in force by default. */
    readonly limitLaw?: LimitLaw;
    /** Slots that upstreams really have, where the policy is wrong. */
    readonly realSlots?: Readonly<Record<string, number>>;
    readonly recordRun?: (run: UpstreamRun) => void;
    readonly recordRetry?: () => void;
    readonly recordAudit?: (entry: AuditEntry) => void;
}

/** One endpoint of the graph. */
export interface VirtualEndpoint {
    readonly settings: Settings;
    readonly core: NodeCore;
    readonly upstream: FakeUpstream;
}

const host = "127.0.0.1";
const firstPort = 10_000;
const peerLatencyMs = 1;
const localLatencyMs = 0.1;
const note = { author: "test", time: "2026-01-01T00:00:00.000Z", reason: "first version" };

/** Creates the settings of an endpoint; its ports follow from its index. */
export const createSettings = (endpoint: string, service: string, failureDomain: string, index: number): Settings => {
    const address = (offset: number): Address => ({ host, port: firstPort + index * 10 + offset });
    return {
        endpoint,
        service,
        failureDomain,
        region: "test-region",
        listen: { callers: address(0), peers: address(1), egress: address(2), control: address(3) },
        upstream: address(4),
        platform: { address: { host, port: 1 }, policyKey: "policy", instancesKey: "instances" },
        seeds: [],
        callers: [],
        maxRequestBodyBytes: 1024 * 1024,
        logLevel: "error",
    };
};

/** Creates the platform's list of instances from their settings. */
export const createInstances = (all: readonly Settings[]): readonly Instance[] =>
    all.map(({ endpoint, service, failureDomain, listen }) => ({
        endpoint,
        service,
        failureDomain,
        peer: listen.peers,
        control: listen.control,
        state: "live",
    }));

/** Versions are compared in tests of their own, since promises do not run on the virtual clock. */
const unreachablePeer: PolicyPeer = {
    readVersion: () => Promise.resolve(undefined),
    readLog: () => Promise.resolve(undefined),
};

/** Owns the cores, the fakes around them and the faults between them. */
export class VirtualGraph {
    readonly clock: VirtualClock;
    readonly endpoints = new Map<string, VirtualEndpoint>();
    readonly policyLog: PolicyLog;
    private readonly endpointByPort = new Map<number, VirtualEndpoint>();
    private readonly cutPairs = new Set<string>();
    private readonly refusing = new Set<string>();

    constructor(private readonly options: VirtualGraphOptions) {
        this.clock = options.clock;
        const log = createPolicyLog(options.policy, note);
        if (!log.ok) {
            throw new Error(JSON.stringify(log.faults));
        }
        this.policyLog = log.value;
        const all = Object.entries(options.policy.services).flatMap(([service, policy]) =>
            policy.endpoints.map(endpoint => ({ service, slots: policy.slots, ...endpoint }))
        );
        all.forEach((endpoint, index) => this.addEndpoint(endpoint, index));
        this.publishPolicy(this.policyLog, 1);
        this.publishInstances(this.listInstances());
        this.endpoints.forEach(({ core }) => core.lifecycle.handle("started"));
    }

    /** Returns an endpoint by its name. */
    getEndpoint(name: string): VirtualEndpoint {
        return this.endpoints.get(name)!;
    }

    /** Lists the instances as the platform shows them. */
    listInstances(): readonly Instance[] {
        return createInstances([...this.endpoints.values()].map(({ settings }) => settings));
    }

    /** Lets all nodes, or those named, read a policy log. */
    publishPolicy(log: PolicyLog, revision: number, names = [...this.endpoints.keys()]): void {
        const text = JSON.stringify(log);
        names.forEach(name =>
            this.getEndpoint(name).core.bus.publish({ kind: "policyLogRead", text, revision, source: "platform" })
        );
    }

    /** Lets all nodes, or those named, read an instance list. */
    publishInstances(instances: readonly Instance[], names = [...this.endpoints.keys()]): void {
        names.forEach(name =>
            this.getEndpoint(name).core.bus.publish({ kind: "instancesRead", instances, revision: 1 })
        );
    }

    /** Cuts or heals the link between two failure domains. */
    updatePartition(first: string, second: string, cut: boolean): void {
        [`${first} ${second}`, `${second} ${first}`].forEach(pair => {
            if (cut) {
                this.cutPairs.add(pair);
                return;
            }
            this.cutPairs.delete(pair);
        });
    }

    /** Makes an endpoint's listener refuse connections, or accept them again. */
    updateConnectionRefusal(endpoint: string, refuses: boolean): void {
        if (refuses) {
            this.refusing.add(endpoint);
            return;
        }
        this.refusing.delete(endpoint);
    }

    /** Sends a request from outside to the node of an endpoint, over a link of its own. */
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
            sendNestedRequest: (target, request) => this.getEndpoint(name).core.egress.handle(request),
            recordRun: options.recordRun ?? (() => undefined),
        });
        const readLocalLink = (): LinkState => ({
            latencyMs: localLatencyMs,
            isPartitioned: false,
            refusesConnections: upstream.isDown(),
        });
        const core = new NodeCore(settings, {
            clock,
            limitLaw: options.limitLaw ?? new AdditiveLimit(),
            seed: options.seed * 2_000 + index,
            upstream: new FakeDispatch(clock, readLocalLink, request => upstream.handle(request)),
            policyPeer: unreachablePeer,
            notices: { send: (address, notice) => this.sendNotice(failureDomain, address, notice) },
            peers: { open: address => this.openPeer(failureDomain, address), closeUnused: () => undefined },
            createId: createIdSource(clock, options.seed * 3_000 + index),
            writeAudit: options.recordAudit ?? (() => undefined),
        });
        core.metrics.onRetry = options.recordRetry;
        const added: VirtualEndpoint = { settings, core, upstream };
        this.endpoints.set(name, added);
        this.endpointByPort.set(settings.listen.peers.port, added);
        this.endpointByPort.set(settings.listen.control.port, added);
    }

    /** Delivers a notice unless the link is cut; the sender never learns. */
    private sendNotice(fromDomain: string, address: Address, notice: Notice): Promise<boolean> {
        const target = this.endpointByPort.get(address.port)!;
        const isCut = this.cutPairs.has(`${fromDomain} ${target.settings.failureDomain}`);
        if (!isCut && !this.refusing.has(target.settings.endpoint)) {
            this.clock.schedule(peerLatencyMs, () => target.core.receiveNotice(notice));
        }
        return Promise.resolve(!isCut);
    }

    private openPeer(fromDomain: string, address: Address): FakeDispatch {
        const target = this.endpointByPort.get(address.port)!;
        const { endpoint, failureDomain } = target.settings;
        const readLink = (): LinkState => ({
            latencyMs: peerLatencyMs,
            isPartitioned: this.cutPairs.has(`${fromDomain} ${failureDomain}`),
            refusesConnections: this.refusing.has(endpoint),
        });
        return new FakeDispatch(this.clock, readLink, request => target.core.ingress.handle(request, "peer"));
    }
}
