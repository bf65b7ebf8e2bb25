/** Runs a call graph as processes on the loopback interface: the platform, the upstreams and optionally their nodes. */
import { mkdirSync, writeFileSync } from "node:fs";
import { request } from "undici";
import { createPolicyLog } from "../../src/policy/createPolicyLog";
import { type PolicyLog } from "../../src/policy/types";
import { type NestedCallRouting, type UpstreamConfig, type UpstreamReport } from "../../src/standins/types";
import { findFreePorts } from "../../src/testing/findFreePort";
import { type Address, type Instance } from "../../src/types";
import { type Scenario } from "../types";

import { ProcessGroup } from "./processGroup";

const host = "127.0.0.1";
const portsPerEndpoint = 5;
const startTimeoutMs = 15_000;
const pollIntervalMs = 50;
/** Timeout of one attempt of a nested call in a cluster without nodes. */
const nestedAttemptTimeoutMs = 1_000;
/** Maximum number of attempts of a nested call in a cluster without nodes. */
const maxNestedAttempts = 3;

/** Loopback ports of an endpoint: its upstream and the four listeners of its node. */
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

/** Whether upstreams call each other directly or through nodes. */
export type ClusterKind = "direct" | "node";

/** Kind of a cluster, its programs and its folder. */
export interface ClusterOptions {
    readonly kind: ClusterKind;
    /** Folder for the configuration files and logs of the run; created if it does not exist. */
    readonly folder: string;
    /** Folder that contains the bundle of the stand-ins. */
    readonly distFolder: string;
    /** Executable that runs a node, and arguments that precede the `node` subcommand. */
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

/** Posts a JSON value to a control path of a stand-in. Ignores the status of the answer. */
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

/** Polls a URL until it answers with status 200. Throws if it has not done so after 15 s. */
export const awaitAnswer = async (url: string): Promise<void> => {
    const endMs = performance.now() + startTimeoutMs;
    while (!await isAnswering(url)) {
        if (performance.now() > endMs) {
            throw new Error(`${url} did not answer with status 200 in time`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
};

/** Starts, controls and stops the processes of one run. */
export class Cluster {
    readonly processes: ProcessGroup;
    private platformPort = 0;
    private endpoints: readonly EndpointPorts[] = [];
    private publishedLog: PolicyLog | undefined;

    constructor(private readonly scenario: Scenario, private readonly options: ClusterOptions) {
        mkdirSync(options.folder, { recursive: true });
        this.processes = new ProcessGroup(`${options.folder}/logs`);
    }

    /** Ports of all endpoints; empty before `start`. */
    get ports(): readonly EndpointPorts[] {
        return this.endpoints;
    }

    /** Address of the platform stand-in. */
    get platformAddress(): Address {
        return createAddress(this.platformPort);
    }

    /** Policy log that `start` published. */
    get policyLog(): PolicyLog {
        return this.publishedLog!;
    }

    /** Starts all processes and waits until they are ready. Throws if one of them is not ready after 15 s. */
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

    /** Publishes a value on the platform, as a deployment pipeline does. */
    publish(key: string, value: unknown): Promise<void> {
        return sendStandInCommand(this.platformPort, `/standin/values/${encodeURIComponent(key)}`, value);
    }

    /** Returns the addresses for callers by entry service: of nodes, or of upstreams in a cluster without nodes. */
    listEntryAddresses(): Readonly<Record<string, readonly Address[]>> {
        const entries = this.scenario.entryServices.map(service => [
            service,
            this.listAddresses(service, ports => this.options.kind === "node" ? ports.callers : ports.upstream),
        ]);
        return Object.fromEntries(entries) as Record<string, readonly Address[]>;
    }

    /** Multiplies the work time of all upstreams of a service by a factor; 1 restores the configured time. */
    async updateWorkFactor(service: string, factor: number): Promise<void> {
        const upstreams = this.endpoints.filter(ports => ports.service === service);
        await Promise.all(
            upstreams.map(ports => sendStandInCommand(ports.upstream, "/standin/work-factor", { factor })),
        );
    }

    /** Reads from each upstream how many requests it has run. */
    readReports(): Promise<readonly UpstreamReport[]> {
        return Promise.all(this.endpoints.map(async ports => {
            const answer = await request(`http://${host}:${ports.upstream}/standin/report`);
            return await answer.body.json() as UpstreamReport;
        }));
    }

    /** Writes a value as JSON to a file in the folder of the run. Returns the path of the file. */
    writeFile(name: string, value: unknown): string {
        const file = `${this.options.folder}/${name}`;
        writeFileSync(file, JSON.stringify(value, undefined, 4));
        return file;
    }

    private async startPlatform(): Promise<void> {
        this.startStandIn("platform", ["platform", String(this.platformPort)]);
        await awaitAnswer(`http://${host}:${this.platformPort}/standin/reads`);
        const metadata = { author: "bench", time: "2026-01-01T00:00:00.000Z", reason: "first version" };
        const created = createPolicyLog(this.scenario.policy, metadata);
        if (!created.ok) {
            throw new Error(`invalid policy of the scenario: ${JSON.stringify(created.faults)}`);
        }
        this.publishedLog = created.value;
        await this.publish("policy", created.value);
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
            nestedCallRouting: this.createRouting(ports),
        };
        const file = this.writeFile(`upstream-${ports.endpoint}.json`, config);
        this.startStandIn(`upstream-${ports.endpoint}`, ["upstream", file]);
    }

    private createRouting(ports: EndpointPorts): NestedCallRouting {
        if (this.options.kind === "node") {
            return { kind: "node", egress: createAddress(ports.egress) };
        }
        const services = Object.keys(this.scenario.policy.services);
        const upstreams = Object.fromEntries(
            services.map(service => [service, this.listAddresses(service, endpoint => endpoint.upstream)]),
        );
        return { kind: "direct", upstreams, maxAttempts: maxNestedAttempts, timeoutMs: nestedAttemptTimeoutMs };
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
            platform: { address: this.platformAddress, policyKey: "policy", instancesKey: "instances" },
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

/** Creates the instance that represents an endpoint in the platform's instance list. */
export const createInstance = (ports: EndpointPorts): Instance => ({
    endpoint: ports.endpoint,
    service: ports.service,
    failureDomain: ports.failureDomain,
    peer: createAddress(ports.peers),
    control: createAddress(ports.control),
    state: "live",
});
