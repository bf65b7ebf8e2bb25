/** A small call graph in one process with real sockets, for tests of the HTTP behaviour of nodes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import pino from "pino";
import { createPolicyLog } from "../policy/createPolicyLog";
import { type Policy } from "../policy/types";
import { type Settings } from "../settings/types";
import { PlatformStandIn } from "../standins/platform";
import { type Clock, systemClock } from "../tasks/_lib/clock";
import { PomelovalveNode } from "../tasks/node";
import { type Address, type Instance } from "../types";
import { findFreePort } from "./findFreePort";

/** Handles a request as the upstream of a node. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A node with its upstream, and the HTTP origins of the node's listeners. */
export interface TestNode {
    readonly node: PomelovalveNode;
    readonly upstream: Server;
    readonly settings: Settings;
    /** Origin for direct requests. */
    readonly callers: string;
    /** Origin for nested requests of the upstream. */
    readonly egress: string;
    readonly control: string;
    /** Origin for requests of other nodes. */
    readonly peers: string;
}

export interface TestGraphOptions {
    readonly policy: Policy;
    /** Factories of request handlers for upstreams, by service; a service without a factory gets no nodes. */
    readonly upstreams: Readonly<Record<string, (endpoint: string) => UpstreamHandler>>;
    /** Settings that override the defaults at all nodes. */
    readonly settings?: Partial<Settings>;
}

const host = "127.0.0.1";
const conditionTimeoutMs = 5_000;
const changeMetadata = { author: "test", time: "2026-01-01T00:00:00.000Z", reason: "test" };
const startOffsetMs = 60_000;

/**
 * A clock whose wall time is a minute behind until the offset is removed. A node that is created before then counts as
 * a minute old, so that it accepts new idempotency keys at once.
 */
class OffsetClock implements Clock {
    readonly readMonotonicMs = systemClock.readMonotonicMs;
    readonly startInterval = systemClock.startInterval;
    readonly startTimeout = systemClock.startTimeout;
    private offsetMs = startOffsetMs;

    readonly readWallMs = (): number => Date.now() - this.offsetMs;

    removeOffset(): void {
        this.offsetMs = 0;
    }
}

const findAddress = async (): Promise<Address> => ({ host, port: await findFreePort() });

const openServer = (server: Server, port: number): Promise<void> =>
    new Promise(resolve => {
        server.listen(port, host, () => resolve());
    });

const createOrigin = (address: Address): string => `http://${address.host}:${address.port}`;

/**
 * Polls a condition until it holds.
 * @throws {Error} when the condition doesn't hold within 5 seconds; the message contains the description.
 */
export const awaitCondition = async (check: () => boolean | Promise<boolean>, description: string): Promise<void> => {
    const timeoutAtMs = performance.now() + conditionTimeoutMs;
    while (!await check()) {
        if (performance.now() > timeoutAtMs) {
            throw new Error(`timed out waiting for: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

/** Starts and stops a call graph: nodes, their upstreams and a platform stand-in on loopback. */
export class TestGraph {
    readonly platform = new PlatformStandIn();
    readonly nodes = new Map<string, TestNode>();
    platformAddress: Address = { host, port: 0 };

    constructor(private readonly options: TestGraphOptions) {}

    /** Starts the platform and all nodes, and waits until each node has the policy and the instance list. */
    async start(): Promise<this> {
        this.platformAddress = await findAddress();
        await this.platform.start(this.platformAddress.port);
        const log = createPolicyLog(this.options.policy, changeMetadata);
        if (!log.ok) {
            throw new Error(JSON.stringify(log.faults));
        }
        this.platform.writeValue("policy", JSON.stringify(log.value));
        await this.startNodes();
        return this;
    }

    getNode(endpoint: string): TestNode {
        return this.nodes.get(endpoint)!;
    }

    /** Lists the running instances in the platform's format. */
    listInstances(): readonly Instance[] {
        return [...this.nodes.values()].map(({ settings }) => ({
            endpoint: settings.endpoint,
            service: settings.service,
            failureDomain: settings.failureDomain,
            peer: settings.listen.peers,
            control: settings.listen.control,
            state: "live",
        }));
    }

    /** Starts the upstream and the node of an endpoint; doesn't publish the instance list. */
    async startNode(service: string, endpoint: string, failureDomain: string): Promise<TestNode> {
        const upstreamAddress = await findAddress();
        const upstream = createServer(this.options.upstreams[service]!(endpoint));
        await openServer(upstream, upstreamAddress.port);
        const settings = await this.createSettings(service, endpoint, failureDomain, upstreamAddress);
        const clock = new OffsetClock();
        const node = new PomelovalveNode(settings, pino({ level: "silent" }), clock);
        clock.removeOffset();
        await node.start();
        const testNode: TestNode = {
            node,
            upstream,
            settings,
            callers: createOrigin(settings.listen.callers!),
            egress: createOrigin(settings.listen.egress),
            control: createOrigin(settings.listen.control),
            peers: createOrigin(settings.listen.peers),
        };
        this.nodes.set(endpoint, testNode);
        return testNode;
    }

    /** Writes the list of the running instances to the platform. */
    publishInstances(): void {
        this.platform.writeValue("instances", JSON.stringify(this.listInstances()));
    }

    /** Drains all nodes, stops the upstream of each once it has drained, then stops the platform. */
    async stop(): Promise<void> {
        await Promise.all([...this.nodes.values()].map(async ({ node, upstream }) => {
            await node.drain();
            upstream.closeAllConnections();
            upstream.close();
        }));
        this.platform.stop();
    }

    private async startNodes(): Promise<void> {
        for (const [service, servicePolicy] of Object.entries(this.options.policy.services)) {
            for (const endpoint of this.options.upstreams[service] ? servicePolicy.endpoints : []) {
                await this.startNode(service, endpoint.name, endpoint.failureDomain);
            }
        }
        this.publishInstances();
        await awaitCondition(() => this.isReady(), "every node has the policy and the instance list");
    }

    private isReady(): boolean {
        return [...this.nodes.values()].every(({ node }) => {
            const status = node.readStatus();
            return status.policyVersion > 0 && status.instancesKnown === this.nodes.size;
        });
    }

    private async createSettings(
        service: string,
        endpoint: string,
        failureDomain: string,
        upstream: Address,
    ): Promise<Settings> {
        return {
            endpoint,
            service,
            failureDomain,
            region: "test-region",
            listen: {
                callers: await findAddress(),
                peers: await findAddress(),
                egress: await findAddress(),
                control: await findAddress(),
            },
            upstream,
            platform: { address: this.platformAddress, policyKey: "policy", instancesKey: "instances" },
            seeds: [],
            callers: [],
            maxRequestBodyBytes: 256 * 1024 * 1024,
            logLevel: "error",
            ...this.options.settings,
        };
    }
}
