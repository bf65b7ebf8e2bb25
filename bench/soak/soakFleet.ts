/** Nodes as separate processes on loopback, each with an upstream and a way of its own to the store. */
import { type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdirSync } from "node:fs";
import { type Server } from "node:net";
import { FakeStore } from "../../platform/testing/fakeStore";
import {
    createConfigEntry,
    createUpstreamEntry,
    derivePorts,
    type NodePlace,
    type OperatorRoute,
} from "../../platform/testing/platformFiles";
import { isMissing } from "../../src/_lib/isMissing";
import { awaitNodeReady, startTargetNode } from "../_lib/targetNode";
import { openOtherPrograms } from "./otherPrograms";
import { SoakUpstream } from "./soakUpstream";
import { StoreProxy } from "./storeProxy";
import { type Disruption, type Leaving, type RouteLife, type SoakRun } from "./types";

/** A node, its upstream and its way to the store. */
export interface Machine {
    readonly place: NodePlace;
    readonly workTree: string;
    readonly proxy: StoreProxy;
    proxyPort: number;
    child: ChildProcess | undefined;
    upstream: SoakUpstream | undefined;
    /** State that the entry of the upstream has; undefined without an entry. */
    entryState: "ready" | "draining" | undefined;
    /** Number of incarnations of the upstream. */
    incarnations: number;
    /** Whether an event of the soak concerns the machine at present. */
    isBusy: boolean;
    /** Whether the soak ends the process itself. */
    isStopping: boolean;
}

/** Size of a fleet, the work trees whose programs its nodes run in turn, and the folder for settings and logs. */
export interface SoakFleetOptions {
    readonly nodes: number;
    readonly failureDomains: number;
    readonly services: readonly string[];
    readonly workTrees: readonly string[];
    /** First of the ports that each node uses on its own address. */
    readonly firstPort: number;
    readonly outFolder: string;
}

const pageItems = 20;

/** Whether a process has not ended; both codes are null until then. */
const isRunning = ({ exitCode, signalCode }: ChildProcess): boolean => isMissing(exitCode) && isMissing(signalCode);

/** Starts, disturbs and ends the nodes, and records what was done when. */
export class SoakFleet {
    readonly store = new FakeStore(pageItems);
    readonly machines: readonly Machine[];
    readonly runs: SoakRun[] = [];
    readonly leavings: Leaving[] = [];
    readonly disruptions: Disruption[] = [];
    readonly exits: string[] = [];
    readonly routeLives = new Map<string, RouteLife>();
    private routes: readonly OperatorRoute[] = [];
    private version = 0;
    private otherPrograms: readonly Server[] = [];
    private storePort = 0;

    constructor(private readonly options: SoakFleetOptions) {
        mkdirSync(options.outFolder, { recursive: true });
        this.machines = Array.from({ length: options.nodes }, (unused, index) => this.createMachine(index));
    }

    /** Starts the store, the upstreams and all nodes. */
    async start(routes: readonly OperatorRoute[]): Promise<void> {
        this.storePort = await this.store.open();
        this.otherPrograms = await openOtherPrograms(this.options.firstPort);
        this.publish(routes);
        for (const machine of this.machines) {
            machine.proxyPort = await machine.proxy.open(this.storePort);
            await this.startUpstream(machine);
        }
        this.machines.forEach(machine => this.startNode(machine, true));
        await Promise.all(this.machines.map(({ place }) => awaitNodeReady(place, this.options.outFolder)));
    }

    /** Routes of the configuration that was published last. */
    get publishedRoutes(): readonly OperatorRoute[] {
        return this.routes;
    }

    /** Publishes the next version of the configuration. */
    publish(routes: readonly OperatorRoute[]): number {
        this.version += 1;
        this.store.write(...createConfigEntry(this.version, routes));
        const nowMs = Date.now();
        this.routeLives.forEach((life, name) => {
            if (life.removedAtMs === Infinity && !routes.some(route => route.name === name)) {
                this.routeLives.set(name, { ...life, removedAtMs: nowMs });
            }
        });
        routes.filter(({ name }) => !this.routeLives.has(name)).forEach(({ name }) =>
            this.routeLives.set(name, { name, addedAtMs: nowMs, removedAtMs: Infinity })
        );
        this.routes = routes;
        return this.version;
    }

    /** Starts the next incarnation of a machine's upstream, and registers it. */
    async startUpstream(machine: Machine): Promise<void> {
        const { place } = machine;
        machine.incarnations += 1;
        const id = `i-${place.name}-${machine.incarnations}`;
        const address = { host: place.host, port: derivePorts(place).upstream };
        const upstream = new SoakUpstream(
            id,
            address,
            requestId => this.runs.push({ requestId, upstreamId: id, node: place.name, atMs: Date.now() }),
        );
        await upstream.open();
        machine.upstream = upstream;
        this.register(machine, "ready");
    }

    /** Writes the entry of a machine's upstream. */
    register(machine: Machine, state: "ready" | "draining"): void {
        const { id } = machine.upstream!;
        const [key, text] = createUpstreamEntry(machine.place, id, machine.incarnations, state);
        this.store.write(key, text);
        machine.entryState = state;
        if (state === "draining") {
            this.recordLeaving(id);
        }
    }

    /** Removes the entry of a machine's upstream. */
    removeEntry(machine: Machine): void {
        const { id } = machine.upstream!;
        this.store.write(`servers/${id}`, undefined);
        machine.entryState = undefined;
        this.recordLeaving(id);
    }

    startNode(machine: Machine, isFirstStart: boolean): void {
        const child = startTargetNode({
            place: machine.place,
            storePort: machine.proxyPort,
            isFirstStart,
            workTree: machine.workTree,
            outFolder: this.options.outFolder,
        });
        machine.isStopping = false;
        machine.child = child;
        child.once("exit", (code, signal) => {
            if (!machine.isStopping) {
                this.exits.push(`${machine.place.name} ended by itself: code ${code}, signal ${signal}`);
            }
        });
    }

    /** Ends a node's process with a signal, and waits for its end. */
    async endNode(machine: Machine, signal: NodeJS.Signals): Promise<void> {
        machine.isStopping = true;
        const ended = once(machine.child!, "exit");
        machine.child!.kill(signal);
        await ended;
    }

    /** Records that a machine, or "store", was disturbed from a time until now. */
    recordDisruption(place: string, kind: string, fromMs: number): void {
        this.disruptions.push({ place, kind, fromMs, toMs: Date.now() });
    }

    /** Ends all processes at once, without waiting for their end. */
    abort(): void {
        this.machines.forEach(({ child }) => child?.kill("SIGKILL"));
    }

    /** Ends all processes that were started. */
    async stop(): Promise<void> {
        const running = this.machines.filter(({ child }) => child && isRunning(child));
        await Promise.all(running.map(machine => this.endNode(machine, "SIGKILL")));
        this.store.close();
        this.otherPrograms.forEach(server => server.close());
        await Promise.all(this.machines.map(async ({ proxy, upstream }) => {
            proxy.close();
            await upstream?.close();
        }));
    }

    private recordLeaving(upstreamId: string): void {
        if (!this.leavings.some(leaving => leaving.upstreamId === upstreamId)) {
            this.leavings.push({ upstreamId, ackAtMs: Date.now() });
        }
    }

    private createMachine(index: number): Machine {
        const { failureDomains, services, workTrees, firstPort } = this.options;
        return {
            place: {
                name: `node-${index}`,
                host: `127.0.1.${index + 1}`,
                firstPort,
                failureDomain: `domain-${index % failureDomains}`,
                service: services[Math.floor(index / failureDomains) % services.length]!,
            },
            workTree: workTrees[index % workTrees.length]!,
            proxy: new StoreProxy(),
            proxyPort: 0,
            child: undefined,
            upstream: undefined,
            entryState: undefined,
            incarnations: 0,
            isBusy: false,
            isStopping: false,
        };
    }
}
