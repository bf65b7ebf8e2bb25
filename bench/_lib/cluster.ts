/** A call graph as plain processes on loopback: platform, upstreams, and nodes beside them. */
import { mkdirSync, writeFileSync } from "node:fs";
import { request } from "undici";
import { createPolicyLog } from "../../src/policy/createPolicyLog";
import { type PolicyLog } from "../../src/policy/types";
import { type ChildRouting, type UpstreamConfig, type UpstreamReport } from "../../src/standins/types";
import { findFreePorts } from "../../src/testing/findFreePort";
import { type Address, type Instance } from "../../src/types";
import { type Scenario } from "../types";

import { ProcessGroup } from "./processGroup";

const host = "127.0.0.1";
const portsPerEndpoint = 5;
const startTimeoutMs = 15_000;
const pollMs = 50;
const childTimeoutMs = 1_000;
const childTries = 3;

/** Ports of one endpoint. */
export interface EndpointPorts {
    readonly endpoint: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly upstream: number;
    readonly callers: number;
    readonly peers: number;
    readonly egress: number;
    readonly control: number;
}

/** How the call graph is controlled in a run. */
export type ClusterKind = "direct" | "node";

/** Where the parts of a cluster come from. */
export interface ClusterOptions {
    readonly kind: ClusterKind;
    readonly folder: string;
    readonly distFolder: string;
    /** The program of the nodes. */
    readonly program: { readonly file: string; readonly args: readonly string[]; };
}

const createAddress = (port: number): Address => ({ host, port });

const choosePorts = async (scenario: Scenario): Promise<readonly EndpointPorts[]> => {
    const endpoints = Object.entries(scenario.policy.services).flatMap(([service, policy]) =>
        policy.endpoints.map(endpoint => ({ service, endpoint: endpoint.name, failureDomain: endpoint.failureDomain }))
    );
    const ports = await findFreePorts(endpoints.length * portsPerEndpoint);
    return endpoints.map((endpoint, index) => {
        const [upstream, callers, peers, egress, control] = ports.slice(index * portsPerEndpoint) as [
            number,
            number,
            number,
            number,
            number,
        ];
        return { ...endpoint, upstream, callers, peers, egress, control };
    });
};

/** Sends JSON to a stand-in. */
export const sendStandInCommand = async (port: number, path: string, value: unknown): Promise<void> => {
    const answer = await request(`http://${host}:${port}${path}`, { method: "POST", body: JSON.stringify(value) });
    await answer.body.dump();
};

const isAnswering = async (url: string): Promise<boolean> => {
    try {
        const answer = await request(url, { headersTimeout: 1_000 });
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch {
        return false;
    }
};

/** Waits until a URL answers 200. */
export const awaitAnswer = async (url: string): Promise<void> => {
    const endMs = performance.now() + startTimeoutMs;
    while (!await isAnswering(url)) {
        if (performance.now() > endMs) {
            throw new Error(`${url} does not answer`);
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
};

/** Owns the processes of one run. */
export class Cluster {
    readonly processes: ProcessGroup;
    private platformPort = 0;
    private endpoints: readonly EndpointPorts[] = [];
    private log: PolicyLog | undefined;

    constructor(private readonly scenario: Scenario, private readonly options: ClusterOptions) {
        mkdirSync(options.folder, { recursive: true });
        this.processes = new ProcessGroup(`${options.folder}/logs`);
    }

    /** Ports of all endpoints. */
    get ports(): readonly EndpointPorts[] {
        return this.endpoints;
    }

    get platform(): Address {
        return createAddress(this.platformPort);
    }

    /** The policy log as it was first published. */
    get policyLog(): PolicyLog {
        return this.log!;
    }

    /** Starts all processes and waits until they answer. */
    async start(): Promise<void> {
        const [platformPort] = await findFreePorts(1);
        this.platformPort = platformPort!;
        this.endpoints = await choosePorts(this.scenario);
        await this.startPlatform();
        this.endpoints.forEach((ports, index) => this.startUpstream(ports, index));
        await Promise.all(this.endpoints.map(ports => awaitAnswer(`http://${host}:${ports.upstream}/standin/report`)));
        if (this.options.kind === "node") {
            this.endpoints.forEach(ports => this.startNode(ports));
            await Promise.all(this.endpoints.map(ports => awaitAnswer(`http://${host}:${ports.control}/readyz`)));
        }
    }

    stop(): Promise<void> {
        return this.processes.stop();
    }

    /** Publishes a value on the platform, as the operators' pipeline does. */
    publish(key: string, value: unknown): Promise<void> {
        return sendStandInCommand(this.platformPort, `/standin/values/${encodeURIComponent(key)}`, value);
    }

    /** Entry addresses by service. */
    listEntries(): Readonly<Record<string, readonly Address[]>> {
        const pairs = this.scenario.entryServices.map(service => [
            service,
            this.listAddresses(service, ports => this.options.kind === "node" ? ports.callers : ports.upstream),
        ]);
        return Object.fromEntries(pairs) as Record<string, readonly Address[]>;
    }

    /** Changes how long the work of a service's upstreams takes. */
    async updateWorkFactor(service: string, factor: number): Promise<void> {
        const upstreams = this.endpoints.filter(ports => ports.service === service);
        await Promise.all(
            upstreams.map(ports => sendStandInCommand(ports.upstream, "/standin/work-factor", { factor })),
        );
    }

    /** Reads the reports of all upstreams. */
    readReports(): Promise<readonly UpstreamReport[]> {
        return Promise.all(this.endpoints.map(async ports => {
            const answer = await request(`http://${host}:${ports.upstream}/standin/report`);
            return await answer.body.json() as UpstreamReport;
        }));
    }

    /** Writes a configuration file of the run; returns its name. */
    writeFile(name: string, value: unknown): string {
        const file = `${this.options.folder}/${name}`;
        writeFileSync(file, JSON.stringify(value, undefined, 4));
        return file;
    }

    private async startPlatform(): Promise<void> {
        this.startStandIn("platform", ["platform", String(this.platformPort)]);
        await awaitAnswer(`http://${host}:${this.platformPort}/standin/reads`);
        const note = { author: "bench", time: "2026-01-01T00:00:00.000Z", reason: "first version" };
        const log = createPolicyLog(this.scenario.policy, note);
        if (!log.ok) {
            throw new Error(`the scenario's policy has faults: ${JSON.stringify(log.faults)}`);
        }
        this.log = log.value;
        await this.publish("policy", log.value);
        await this.publish("instances", this.endpoints.map(createInstance));
    }

    private startStandIn(name: string, args: readonly string[]): void {
        this.processes.start({
            name,
            file: process.execPath,
            args: [`${this.options.distFolder}/standins.cjs`, ...args],
        });
    }

    private startUpstream(ports: EndpointPorts, index: number): void {
        const config: UpstreamConfig = {
            endpoint: ports.endpoint,
            port: ports.upstream,
            slots: this.scenario.policy.services[ports.service]!.slots,
            seed: this.scenario.seed * 101 + index,
            routes: this.scenario.upstreamRoutes[ports.service]!,
            routing: this.createRouting(ports),
        };
        const file = this.writeFile(`upstream-${ports.endpoint}.json`, config);
        this.startStandIn(`upstream-${ports.endpoint}`, ["upstream", file]);
    }

    private createRouting(ports: EndpointPorts): ChildRouting {
        if (this.options.kind === "node") {
            return { kind: "node", egress: createAddress(ports.egress) };
        }
        const services = Object.keys(this.scenario.policy.services);
        const upstreams = Object.fromEntries(
            services.map(service => [service, this.listAddresses(service, endpoint => endpoint.upstream)]),
        );
        return { kind: "direct", upstreams, tries: childTries, timeoutMs: childTimeoutMs };
    }

    private startNode(ports: EndpointPorts): void {
        const settings = {
            endpoint: ports.endpoint,
            service: ports.service,
            failureDomain: ports.failureDomain,
            region: this.scenario.region,
            listen: {
                callers: createAddress(ports.callers),
                peers: createAddress(ports.peers),
                egress: createAddress(ports.egress),
                control: createAddress(ports.control),
            },
            upstream: createAddress(ports.upstream),
            platform: { address: this.platform, policyKey: "policy", instancesKey: "instances" },
        };
        const file = this.writeFile(`node-${ports.endpoint}.json`, settings);
        const { program } = this.options;
        this.processes.start({
            name: `node-${ports.endpoint}`,
            file: program.file,
            args: [...program.args, "node", "--settings", file],
        });
    }

    private listAddresses(service: string, choosePort: (ports: EndpointPorts) => number): readonly Address[] {
        return this.endpoints.filter(ports => ports.service === service).map(ports => createAddress(choosePort(ports)));
    }
}

/** Creates the entry of the platform's instance list for an endpoint. */
export const createInstance = (ports: EndpointPorts): Instance => ({
    endpoint: ports.endpoint,
    service: ports.service,
    failureDomain: ports.failureDomain,
    peer: createAddress(ports.peers),
    control: createAddress(ports.control),
    state: "live",
});
