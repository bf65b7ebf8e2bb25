/** A small call graph in one process, for tests of what crosses sockets. */
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

/** Handles a request as an upstream. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A node with its upstream. */
export interface TestNode {
    readonly node: PomelovalveNode;
    readonly upstream: Server;
    readonly settings: Settings;
    /** Origin of the listener for callers. */
    readonly callers: string;
    readonly egress: string;
    readonly control: string;
    readonly peers: string;
}

/** What a test graph is made of. */
export interface TestGraphOptions {
    readonly policy: Policy;
    /** Handlers by service; a service without one gets no nodes. */
    readonly upstreams: Readonly<Record<string, (endpoint: string) => UpstreamHandler>>;
    readonly settings?: Partial<Settings>;
}

const host = "127.0.0.1";
const readyTimeoutMs = 5_000;
const note = { author: "test", time: "2026-01-01T00:00:00.000Z", reason: "test" };

const ageMs = 60_000;

/** A clock that shows a minute ago until it is told to show the present. */
class AgedClock implements Clock {
    readonly readMonotonicMs = systemClock.readMonotonicMs;
    readonly startInterval = systemClock.startInterval;
    private ageMs = ageMs;

    readonly readWallMs = (): number => Date.now() - this.ageMs;

    updateToPresent(): void {
        this.ageMs = 0;
    }
}

const findAddress = async (): Promise<Address> => ({ host, port: await findFreePort() });

const openServer = (server: Server, port: number): Promise<void> =>
    new Promise(resolve => {
        server.listen(port, host, () => resolve());
    });

const createOrigin = (address: Address): string => `http://${address.host}:${address.port}`;

/** Waits until a condition holds; polls, and fails after a generous bound. */
export const awaitCondition = async (check: () => boolean | Promise<boolean>, what: string): Promise<void> => {
    const endMs = performance.now() + readyTimeoutMs;
    while (!await check()) {
        if (performance.now() > endMs) {
            throw new Error(`not in time: ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

/** A running graph. */
export class TestGraph {
    readonly platform = new PlatformStandIn();
    readonly nodes = new Map<string, TestNode>();
    platformAddress: Address = { host, port: 0 };

    constructor(private readonly options: TestGraphOptions) {}

    async start(): Promise<this> {
        this.platformAddress = await findAddress();
        await this.platform.start(this.platformAddress.port);
        const log = createPolicyLog(this.options.policy, note);
        if (!log.ok) {
            throw new Error(JSON.stringify(log.faults));
        }
        this.platform.writeValue("policy", JSON.stringify(log.value));
        await this.startNodes();
        return this;
    }

    /** Returns the node of an endpoint. */
    getNode(endpoint: string): TestNode {
        return this.nodes.get(endpoint)!;
    }

    /** Lists the instances as the platform shows them. */
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

    /** Starts a node for an endpoint, with its upstream. */
    async startNode(service: string, endpoint: string, failureDomain: string): Promise<TestNode> {
        const upstreamAddress = await findAddress();
        const upstream = createServer(this.options.upstreams[service]!(endpoint));
        await openServer(upstream, upstreamAddress.port);
        const settings = await this.createSettings(service, endpoint, failureDomain, upstreamAddress);
        const clock = new AgedClock();
        const node = new PomelovalveNode(settings, pino({ level: "silent" }), clock);
        clock.updateToPresent();
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

    /** Publishes the list of the running instances. */
    publishInstances(): void {
        this.platform.writeValue("instances", JSON.stringify(this.listInstances()));
    }

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
        await awaitCondition(() => this.isReady(), "nodes know the policy and each other");
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
