/** A small deployment on loopback: a store, endpoints with their nodes as separate processes, and a record of it all. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setInterval, setTimeout } from "node:timers";
import { Endpoint } from "./endpoint.mjs";
import { Proxy } from "./proxy.mjs";
import { Store } from "./store.mjs";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const root = new URL("../../", import.meta.url).pathname;
const portCount = 24;
const storeHost = "127.0.0.1";
const heartbeatMs = 1_500;
/** Bounds of the small deployments, as their sheets name them. */
const bounds = {
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
    retry_slack: "49",
    recovery: "15s",
};

/** Reads the arguments of the `run` line of the deploy file. */
const readRunLine = () => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return /^run = "([^"]+)"$/mu.exec(text)[1].split(" ");
};

const tryBind = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Finds a range of ports that are free on all the addresses. */
const findPorts = async hosts => {
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const first = 20_000 + Math.floor(Math.random() * 400) * 30;
        const checks = [storeHost, ...hosts].flatMap(host =>
            Array.from({ length: portCount }, (unused, index) => tryBind(host, first + index))
        );
        if ((await Promise.all(checks)).every(Boolean)) {
            return first;
        }
    }
    throw new Error("no free ports");
};

export class Fleet {
    store = new Store();
    machines = [];
    #children = new Set();
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #recordFile;
    #startedAt = Date.now();
    #isStopping = false;

    constructor(recordFile) {
        this.#recordFile = recordFile;
        writeFileSync(recordFile, "");
        const stop = () => this.#children.forEach(child => child.kill("SIGKILL"));
        process.once("exit", stop);
        process.once("SIGTERM", () => process.exit(2));
        process.once("SIGINT", () => process.exit(2));
    }

    note(text) {
        appendFileSync(this.#recordFile, `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}\n`);
    }

    /** Starts the store, the endpoints and the nodes. Each item: `name`, `zone`, `service`, and options of the endpoint. */
    async start(items, config) {
        const hosts = items.map((unused, index) => `127.0.0.${index + 11}`);
        this.port = await findPorts(hosts);
        this.storePort = this.port + 20;
        await this.store.open(storeHost, this.storePort);
        this.store.write("op/config", config);
        this.machines = await Promise.all(items.map((item, index) => this.#prepare(item, hosts[index])));
        this.machines.forEach(machine => this.register(machine));
        this.machines.forEach(machine => this.startNode(machine, true));
        await Promise.all(this.machines.map(machine => this.awaitReady(machine)));
        this.note(`all ${items.length} nodes are ready`);
    }

    async #prepare({ name, zone, service, ...options }, host) {
        const endpoint = new Endpoint({ id: `i-${name}`, service, host, port: this.port + 1, ...options });
        await endpoint.open();
        const proxy = new Proxy({ host: storeHost, port: this.storePort });
        await proxy.open(host, this.port + 4);
        return { name, zone, service, host, endpoint, proxy, born: Date.now(), seq: 0, state: "ready" };
    }

    /** Writes the entry of an endpoint, which changes only with its state; returns the time of the acknowledgement. */
    register(machine) {
        machine.seq += 1;
        return this.store.write(`servers/${machine.endpoint.id}`, {
            address: `${machine.host}:${this.port + 1}`,
            born: machine.born,
            info: { service: machine.service, version: "v1", zone: machine.zone, slots: 54 },
            status: { state: machine.state, seq: machine.seq, warmup_left: "0ms" },
        });
    }

    remove(machine) {
        return this.store.write(`servers/${machine.endpoint.id}`, undefined);
    }

    #createSettings({ name, zone, service, host }, isFirst) {
        const zones = Object.fromEntries(this.machines.map(machine => [machine.zone, "pt-norte"]));
        return {
            node: `sidecar-${name}`,
            role: "node",
            machine_class: "sidecar",
            serves: ["sidecar"],
            ip: host,
            zone,
            region: "pt-norte",
            zones,
            listen: {
                inbound: `${host}:${this.port}`,
                outbound: `${host}:${this.port + 2}`,
                ready: `${host}:${this.port + 3}`,
            },
            internal_ports: [this.port + 5, this.port + 19],
            seeds: [],
            bootstrap: isFirst,
            limits: { cpu_share: 0.54, cores: 2, memory_mb: 350, max_fds: 4100, link_mbps: 1000 },
            discovery: "platform",
            entry: "local",
            heartbeat: `${heartbeatMs}ms`,
            fault_tolerance: { machines: 2, zones: 1, regions: 0 },
            bounds,
            app: `${host}:${this.port + 1}`,
            service,
            platform: { address: `${host}:${this.port + 4}`, form: "read", reads_per_s: 2000, history: "20s" },
        };
    }

    startNode(machine, isFirst = false) {
        if (this.#isStopping) {
            return;
        }
        const file = join(this.#folder, `${machine.name}.json`);
        writeFileSync(file, JSON.stringify(this.#createSettings(machine, isFirst)));
        const [command, ...args] = readRunLine();
        const log = openSync(join(this.#folder, `${machine.name}.log`), "a");
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(command, args, {
            cwd: root,
            env: { PATH, HOME, LANG, POMELOVALVE_BOOT: file },
            stdio: ["ignore", log, log],
        });
        this.#children.add(child);
        machine.exited = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                this.#children.delete(child);
                this.note(`node ${machine.name} ended: code ${code}, signal ${signal}`);
                resolve();
            })
        );
        machine.child = child;
    }

    signal(machine, name) {
        this.note(`${name} to node ${machine.name}`);
        machine.child.kill(name);
    }

    logFile(machine) {
        return join(this.#folder, `${machine.name}.log`);
    }

    isReady({ host }) {
        return new Promise(resolve => {
            const request = get({ host, port: this.port + 3, path: "/api/readiness", agent: false }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.once("error", () => resolve(false));
        });
    }

    async awaitReady(machine) {
        for (let attempt = 0; attempt < 200; attempt += 1) {
            if (await this.isReady(machine)) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`node ${machine.name} doesn't become ready`);
    }

    /** Ends all processes that were started, and waits for their end. */
    async stop() {
        this.#isStopping = true;
        this.#children.forEach(child => child.kill("SIGKILL"));
        await Promise.all(this.machines.map(({ exited }) => exited));
        this.machines.forEach(({ endpoint, proxy }) => {
            endpoint.close();
            proxy.close();
        });
        this.store.close();
        if (!process.env.KEEP) {
            rmSync(this.#folder, { recursive: true });
        }
    }
}

/** The platform's view of which nodes are in: each is asked once a second and is out after two misses. */
export class Readiness {
    #fleet;
    #misses = new Map();
    #timers = [];

    constructor(fleet) {
        this.#fleet = fleet;
        fleet.machines.forEach((machine, index) => {
            this.#misses.set(machine, 0);
            const start = setTimeout(() => {
                void this.#ask(machine);
                this.#timers.push(setInterval(() => void this.#ask(machine), 1_000));
            }, (index * 370) % 1_000);
            this.#timers.push(start);
        });
    }

    stop() {
        this.#timers.forEach(timer => timer.close());
    }

    isIn(machine) {
        return this.#misses.get(machine) < 2;
    }

    /** Whether the clients on a machine get new work: if its node is in, or fewer than half of the zone's nodes are. */
    hasNewWork(machine) {
        const zone = this.#fleet.machines.filter(other => other.zone === machine.zone);
        return this.isIn(machine) || zone.filter(other => this.isIn(other)).length < zone.length / 2;
    }

    async #ask(machine) {
        const isReady = await this.#fleet.isReady(machine);
        const misses = isReady ? 0 : this.#misses.get(machine) + 1;
        if (misses === 2 || isReady && this.#misses.get(machine) >= 2) {
            this.#fleet.note(`node ${machine.name} is ${isReady ? "in" : "out"}`);
        }
        this.#misses.set(machine, misses);
    }
}

/** Creates a configuration in columns and rows, as the operator writes it. */
export const createConfig = (version, routes, services) => ({
    version: `r${version}`,
    routes: {
        columns: [
            "name",
            "host",
            "prefix",
            "route_type",
            "timeout",
            "target_latency",
            "priority",
            "max_attempts",
            "service",
            "traffic_split",
        ],
        rows: routes.map(route => [
            route.name,
            route.host,
            route.prefix,
            route.type,
            route.timeout ?? "6s",
            route.aim ?? "1.5s",
            route.priority ?? 2,
            route.attempts ?? 2,
            route.service,
            null,
        ]),
    },
    services: {
        columns: ["name", "health_path", "max_connections"],
        rows: services.map(name => [name, "/health", 424]),
    },
    limits: { max_header_bytes: 16384, max_body_bytes: 1048576, header_timeout: "3000ms", idle_timeout: "15s" },
});

/**
 * Runs a case: `play` returns a text for each broken rule. Exits with 1 if there is one, with 0 if there is none and
 * with 2 if the case couldn't run.
 */
export const runCase = async (recordFile, play) => {
    const fleet = new Fleet(recordFile);
    const timer = setTimeout(() => {
        fleet.note("the case takes too long");
        process.exit(2);
    }, 115_000);
    let code = 2;
    try {
        const isTroubled = process.env.TROUBLE !== "0";
        fleet.note(`disruption: ${isTroubled ? "yes" : "no"}`);
        const faults = await play(fleet, isTroubled);
        faults.forEach(fault => fleet.note(`BROKEN ${fault}`));
        fleet.note(faults.length > 0 ? "result: the rule was broken" : "result: the rule held");
        code = faults.length > 0 ? 1 : 0;
    }
    catch (error) {
        fleet.note(`could not run: ${error.stack}`);
    }
    await fleet.stop().catch(error => fleet.note(`could not stop: ${error.stack}`));
    timer.close();
    process.exit(code);
};
