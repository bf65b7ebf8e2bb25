/** Nodes of two builds as separate processes on loopback, with their upstreams and the store of the platform. */
import { type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdirSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { headerNames } from "../../platform/headerNames";
import { FakeStore } from "../../platform/testing/fakeStore";
import {
    createConfigEntry,
    createUpstreamEntry,
    derivePorts,
    type NodePlace,
    type OperatorRoute,
    portsPerPlace,
} from "../../platform/testing/platformFiles";
import { awaitNodeReady, isNodeReady, startTargetNode } from "../_lib/targetNode";

/** A work tree whose program has been built. */
export interface Build {
    readonly name: "from" | "to";
    readonly folder: string;
}

/** One start of a request at an upstream. */
export interface Run {
    readonly requestId: string;
    /** Build of the node beside the upstream. */
    readonly build: Build["name"];
}

/** A node with its upstream. */
export interface UpgradeNode {
    readonly place: NodePlace;
    readonly upstreamId: string;
    build: Build;
    child: ChildProcess | undefined;
    /** Whether the node's machine is being replaced. */
    isReplaced: boolean;
}

const firstPort = 23_000;
/** Longest work of a request, in milliseconds. */
const maxWorkMs = 200;
/** Body of an answer that is too long to be buffered by a node. */
export const longBody = "0123456789".repeat(40_000);

/** Starts, updates and ends the nodes. */
export class UpgradeFleet {
    readonly runs: Run[] = [];
    private readonly store = new FakeStore();
    private storePort = 0;
    private readonly upstreams: Server[] = [];

    constructor(readonly nodes: readonly UpgradeNode[], private readonly folder: string) {
        mkdirSync(folder, { recursive: true });
    }

    /** Starts the store, the upstreams and all nodes. */
    async start(routes: readonly OperatorRoute[]): Promise<void> {
        this.storePort = await this.store.open();
        this.publish(1, routes);
        await Promise.all(this.nodes.map(node => this.openUpstream(node)));
        this.nodes.forEach(({ place, upstreamId }) => this.store.write(...createUpstreamEntry(place, upstreamId, 1)));
        this.nodes.forEach(node => this.startNode(node, true));
        await Promise.all(this.nodes.map(({ place }) => awaitNodeReady(place, this.folder)));
    }

    /** Publishes a configuration. */
    publish(version: number, routes: readonly OperatorRoute[]): void {
        this.store.write(...createConfigEntry(version, routes));
    }

    /** Stops a node and starts it with another build; callers have to stay away while it is being replaced. */
    async updateNode(node: UpgradeNode, build: Build): Promise<void> {
        node.isReplaced = true;
        node.child!.kill("SIGTERM");
        await once(node.child!, "exit");
        node.build = build;
        this.startNode(node, false);
        await awaitNodeReady(node.place, this.folder);
        node.isReplaced = false;
    }

    /** Ends all processes that were started. */
    stop(): void {
        this.nodes.forEach(({ child }) => child?.kill("SIGKILL"));
        this.store.close();
        this.upstreams.forEach(server => {
            server.closeAllConnections();
            server.close();
        });
    }

    /** Whether a node says that it is ready. */
    isReady({ place }: UpgradeNode): Promise<boolean> {
        return isNodeReady(place);
    }

    private startNode(node: UpgradeNode, isFirstStart: boolean): void {
        node.child = startTargetNode({
            place: node.place,
            storePort: this.storePort,
            isFirstStart,
            workTree: node.build.folder,
            outFolder: this.folder,
        });
    }

    private async openUpstream(node: UpgradeNode): Promise<void> {
        const server = createServer((request, response) => this.serve(node, request, response));
        this.upstreams.push(server);
        server.listen(derivePorts(node.place).upstream, node.place.host);
        await once(server, "listening");
    }

    private serve(node: UpgradeNode, request: IncomingMessage, response: ServerResponse): void {
        const requestId = String(request.headers[headerNames.requestId]);
        request.resume();
        if (request.headers[headerNames.target] !== node.upstreamId) {
            response.writeHead(421, { [headerNames.requestId]: requestId, [headerNames.notRun]: "1" }).end();
            return;
        }
        this.runs.push({ requestId, build: node.build.name });
        const body = request.url!.endsWith("/long") ? longBody : requestId;
        setTimeout(() => {
            response.writeHead(200, { [headerNames.requestId]: requestId, "Content-Length": body.length }).end(body);
        }, Math.random() * maxWorkMs);
    }
}

/** Creates the places of `count` nodes in two failure domains, which alternate between the services. */
export const createNodes = (count: number, services: readonly string[], build: Build): readonly UpgradeNode[] =>
    Array.from({ length: count }, (unused, index) => ({
        place: {
            name: `node-${index}`,
            host: `127.0.1.${index + 1}`,
            firstPort,
            failureDomain: index < count / 2 ? "a" : "b",
            service: services[index % services.length]!,
        },
        upstreamId: `i-${index}`,
        build,
        child: undefined,
        isReplaced: false,
    }));

/** Ports that the nodes use, for the message about one that is taken. */
export const describePorts = (): string => `${firstPort} to ${firstPort + portsPerPlace - 1}`;
