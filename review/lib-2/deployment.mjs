/** Starts nodes of a small deployment as the deploy file says, each beside a stand-in of an upstream. */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { Agent, get, request as sendHttp } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { clearTimeout, setTimeout } from "node:timers";
import { setTimeout as wait } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";
import { Upstream } from "./upstream.mjs";

export const root = fileURLToPath(new URL("../../", import.meta.url));
const [program, ...programArgs] = readFileSync(`${root}deploy/system.toml`, "utf8").match(/^run = "(.*)"/mu)[1].split(
    " ",
);
const portsPerMachine = 24;
const firstCandidatePort = 20_000;
const lastCandidatePort = 30_000;
const readyTimeoutMs = 15_000;
/** Time after which a case is given up. */
const maxRunMs = 112_000;
/** Pause of a client between the two chunks of a body. */
const chunkPauseMs = 20;

/** Whether all ports of a machine are free at an address. */
const canListen = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

const findFirstPort = async hosts => {
    for (;;) {
        const port = firstCandidatePort + Math.floor(Math.random() * (lastCandidatePort - firstCandidatePort));
        const ports = Array.from({ length: portsPerMachine }, (unused, index) => port + index);
        const checks = hosts.flatMap(host => ports.map(each => canListen(host, each)));
        if ((await Promise.all(checks)).every(Boolean)) {
            return port;
        }
    }
};

/** A node of the project as a process. */
class NodeProcess {
    #child;
    exits = [];

    constructor(deployment, machine) {
        this.deployment = deployment;
        this.machine = machine;
        this.settingsFile = `${deployment.folder}/${machine.name}.conf`;
        this.logFile = `${deployment.folder}/${machine.name}.log`;
    }

    start(isFirstStart) {
        writeFileSync(this.settingsFile, JSON.stringify(this.deployment.createSettings(this.machine, isFirstStart)));
        const log = openSync(this.logFile, "a");
        const { PATH, HOME } = process.env;
        this.#child = spawn(program, programArgs, {
            cwd: root,
            env: { PATH, HOME, POMELOVALVE_BOOT: this.settingsFile },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.startedAtMs = Date.now();
        const child = this.#child;
        this.ended = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.exits.push({ atMs: Date.now(), code, signal });
                resolve();
            });
        });
    }

    get pid() {
        return this.#child.pid;
    }

    signal(name) {
        if (this.#child && this.#child.exitCode === null && this.#child.signalCode === null) {
            process.kill(this.#child.pid, name);
        }
    }

    async restart(signal, delayMs) {
        this.signal(signal);
        await this.ended;
        await wait(delayMs);
        this.start(false);
    }

    /** Asks the node as the platform does whether it is ready. */
    isReady() {
        const { host, ports } = this.machine;
        return new Promise(resolve => {
            const request = get(
                { host, port: ports.ready, path: "/api/readiness", agent: false, timeout: 1_000 },
                response => {
                    response.resume();
                    resolve(response.statusCode === 200);
                },
            );
            request.once("timeout", () => request.destroy());
            request.once("error", () => resolve(false));
        });
    }
}

/** Nodes, upstreams and the store on loopback addresses, with the log of what was sent, answered and run. */
export class Deployment {
    store = new Store();
    nodes = [];
    upstreams = [];
    runs = [];
    #lines = [];
    #startedAtMs = Date.now();

    /** `services` lists the service of each machine; `options` has the bounds and the slots of an upstream. */
    constructor(services, options = {}) {
        this.services = services;
        this.options = { zones: ["pvl-a", "pvl-b", "ekb-c"], slots: 50, bounds: [], heartbeatMs: 1_500, ...options };
        this.folder = mkdtempSync(`${tmpdir()}/pomelovalve-review-`);
    }

    async open() {
        const net = `127.${70 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
        const hosts = this.services.map((unused, index) => `${net}.${index + 1}`);
        const storeHost = `${net}.250`;
        const first = await findFirstPort([...hosts, storeHost]);
        await this.store.open(storeHost, first);
        const ports = { app: first, inbound: first + 1, outbound: first + 2, ready: first + 3, internal: first + 4 };
        this.machines = this.services.map((service, index) => ({
            name: `sidecar-${index + 1}`,
            host: hosts[index],
            zone: this.options.zones[index % this.options.zones.length],
            service,
            ports,
        }));
    }

    /** Starts all upstreams and nodes, and waits until the nodes are ready. */
    async start(handle) {
        const { heartbeatMs, slots } = this.options;
        this.upstreams = this.machines.map(machine =>
            new Upstream(machine, { store: this.store, heartbeatMs, slots, handle, runs: this.runs })
        );
        await Promise.all(
            this.upstreams.map((upstream, index) => upstream.start(heartbeatMs * index / this.upstreams.length)),
        );
        this.nodes = this.machines.map(machine => new NodeProcess(this, machine));
        this.nodes.forEach(node => node.start(true));
        await this.awaitReady();
    }

    async awaitReady() {
        const untilMs = Date.now() + readyTimeoutMs;
        for (;;) {
            if ((await Promise.all(this.nodes.map(node => node.isReady()))).every(Boolean)) {
                return;
            }
            if (Date.now() > untilMs) {
                throw new Error("the nodes are not ready in time");
            }
            await wait(100);
        }
    }

    createSettings({ name, host, zone, service, ports }, isFirstStart) {
        const { zones, bounds } = this.options;
        const bases = {
            seed_lag: "3s",
            reuse_after: "2s",
            stable_window: "3000ms",
            ack: "4000ms",
            sync_time: "4s",
            drain: "2000ms",
            grace: "6s",
            loss_slack: "200ms",
            config_apply: "2000ms",
            rollback_slack: "250ms",
            outer: "5000ms",
            retry_budget_ratio: "0.2",
            budget_window: "10s",
            retry_slack: "47",
            recovery: "15s",
            ...Object.fromEntries(bounds),
        };
        return {
            node: name,
            role: "node",
            machine_class: "sidecar",
            serves: ["sidecar"],
            ip: host,
            zone,
            region: "kz-north",
            zones: Object.fromEntries(zones.map(each => [each, "kz-north"])),
            listen: {
                inbound: `${host}:${ports.inbound}`,
                outbound: `${host}:${ports.outbound}`,
                ready: `${host}:${ports.ready}`,
            },
            internal_ports: [ports.internal, ports.internal + 15],
            seeds: [],
            bootstrap: isFirstStart,
            fault_counted: false,
            limits: { cpu_share: 0.54, cores: 2, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
            data_dir: null,
            discovery: "platform",
            entry: "local",
            heartbeat: `${this.options.heartbeatMs}ms`,
            contracts: ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"],
            fault_tolerance: { machines: 2, zones: 1, regions: 0 },
            bounds: bases,
            app: `${host}:${ports.app}`,
            service,
            platform: {
                address: this.store.address,
                form: "read",
                writes_per_s: 400,
                reads_per_s: 2_000,
                history: "20s",
                value_bytes: 1_048_576,
                ttl_min: "1000ms",
            },
        };
    }

    /** Writes a configuration; returns the time of its acknowledgement. */
    configure(version, routes, tenants) {
        const columns = ["name", "host", "prefix", "route_type", "timeout", "target_latency", "priority", "service"];
        const tenantColumns = ["name", "api_keys", "priority", "rate_per_s", "burst"];
        const services = [...new Set(this.services)];
        return this.store.write("op/config", {
            version: `r${version}`,
            routes: {
                columns: [...columns, "max_attempts", "public", "traffic_split"],
                rows: routes.map(route => [...columns.map(name => route[name]), route.max_attempts ?? 2, false, null]),
            },
            services: {
                columns: ["name", "health_path", "max_connections", "protocol", "tls"],
                rows: services.map(name => [name, "/health", 1_390, "h1", false]),
            },
            limits: {
                max_header_bytes: 16_384,
                max_body_bytes: 67_108_864,
                header_timeout: "3000ms",
                idle_timeout: "15000ms",
            },
            ...tenants && {
                tenants: {
                    columns: tenantColumns,
                    rows: tenants.map(tenant => tenantColumns.map(name => tenant[name])),
                },
            },
        });
    }

    /** Writes a line to the record. */
    note(text) {
        const elapsedS = (Date.now() - this.#startedAtMs) / 1_000;
        this.#lines.push(`${elapsedS.toFixed(3).padStart(8)} ${text}`);
    }

    writeRecord(file) {
        const descriptor = openSync(file, "w");
        writeSync(descriptor, `${this.#lines.join("\n")}\n`);
        closeSync(descriptor);
    }

    /** Ends all processes and servers that the deployment has started. */
    async close() {
        this.nodes.forEach(node => node.signal("SIGCONT"));
        this.nodes.forEach(node => node.signal("SIGKILL"));
        await Promise.all(this.nodes.map(node => node.ended));
        await Promise.all(this.upstreams.map(upstream => upstream.stop()));
        this.store.close();
        if (process.env["KEEP"] === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

let lastId = 0;
const runId = Math.random().toString(16).slice(2, 10).padEnd(8, "0");

/** Creates the id of a request, new for each attempt of a client. */
export const createId = () => {
    lastId += 1;
    return `${runId}${lastId.toString(16).padStart(8, "0")}`;
};

/**
 * Sends a request to a machine as a client does: it waits for the answer until its deadline and closes the connection
 * then. `chunks` is a body that is sent in two chunks, `body` one that is sent with its length.
 */
export const send = (machine, { method = "GET", host, path, deadlineMs, headers = {}, chunks, body, agent = false }) =>
    new Promise(resolve => {
        const id = createId();
        const sentAtMs = Date.now();
        const answer = { id, sentAtMs, status: 0, bytes: 0, isComplete: false, headAtMs: undefined, error: "" };
        let timer;
        const finish = () => {
            clearTimeout(timer);
            answer.endedAtMs = Date.now();
            resolve(answer);
        };
        const request = sendHttp({
            host: machine.host,
            port: machine.ports.outbound,
            method,
            path,
            agent,
            headers: {
                Host: host,
                "Request-Id": id,
                "Deadline-Ms": String(deadlineMs),
                ...body !== undefined && { "Content-Length": String(body.length) },
                ...headers,
            },
        });
        timer = setTimeout(() => request.destroy(new Error("deadline")), deadlineMs);
        request.once("response", response => {
            answer.status = response.statusCode;
            answer.headAtMs = Date.now();
            answer.isSigned = response.headers["server-signature"] !== undefined;
            answer.retryAfter = response.headers["retry-after"];
            response.on("data", chunk => {
                answer.bytes += chunk.length;
            });
            response.once("end", () => {
                answer.isComplete = response.complete;
            });
            response.once("error", error => {
                answer.error = error.message;
            });
            response.once("close", finish);
        });
        request.once("error", error => {
            answer.error = error.message;
            if (answer.status === 0) {
                finish();
            }
        });
        if (chunks) {
            request.write(chunks[0]);
            setTimeout(() => request.end(chunks[1]), chunkPauseMs);
        }
        else {
            request.end(body);
        }
    });

export const createAgent = () => new Agent({ keepAlive: true, maxSockets: 100 });

/** Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export const runCase = async (deployment, file, run) => {
    let exitCode = 2;
    const limit = setTimeout(() => {
        deployment.note("the time of the script is over");
        void finish();
    }, maxRunMs);
    const finish = async () => {
        clearTimeout(limit);
        deployment.note(`exit ${exitCode}`);
        deployment.writeRecord(file);
        await deployment.close();
        process.exit(exitCode);
    };
    process.once("SIGTERM", () => void finish());
    process.once("SIGINT", () => void finish());
    try {
        await deployment.open();
        exitCode = await run() ? 1 : 0;
    }
    catch (error) {
        deployment.note(`could not run: ${error.stack}`);
    }
    await finish();
};
