/** Added latency and processor time of a call, side by side with the direct path. */
import { build } from "hdr-histogram-js";
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { Pool, request } from "undici";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { type Policy } from "../../src/policy/types";
import { findFreePorts } from "../../src/testing/findFreePort";
import { Cluster } from "../_lib/cluster";
import { type Scenario } from "../types";

const host = "127.0.0.1";
const microsecondsPerMs = 1_000;
const highestMicroseconds = 10_000_000;

/** How the latency is measured. */
export interface LatencyOptions {
    readonly distFolder: string;
    readonly outFolder: string;
    readonly ratePerSecond: number;
    readonly seconds: number;
}

/** One way for a call to reach the upstream. */
interface Path {
    readonly name: string;
    readonly pool: Pool;
    readonly headers: readonly string[];
    readonly processes: readonly string[];
}

/** Figures of one path. */
export interface PathResult {
    readonly name: string;
    readonly calls: number;
    readonly failures: number;
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
    /** Processor time of all nodes on the path, per call, in microseconds. */
    readonly nodeMicroseconds: number;
}

const createEndpoints = (service: string) => [{ name: `${service}-a`, failureDomain: "zone-a" }];

const createService = (service: string): Policy["services"][string] => ({
    slots: 200,
    connections: 1_000,
    queue: { maxLength: 100, maxWaitMs: 100 },
    reservedShare: 0.2,
    notRunStatuses: [],
    endpoints: createEndpoints(service),
    routes: [{
        name: "get",
        method: "GET",
        path: "/items/:item",
        importance: "normal",
        idempotent: true,
        deadlineMs: 5_000,
    }],
});

const createScenario = (): Scenario => {
    const route = { method: "GET", pathPrefix: "/items/", workMs: 0, idempotent: true, children: [] };
    return {
        name: "latency",
        seed: 1,
        policy: {
            name: "latency",
            retryLimit: 3,
            drainLimitMs: 5_000,
            services: { front: createService("front"), back: createService("back") },
        },
        region: "local",
        entryServices: ["back"],
        upstreamRoutes: { front: [route], back: [route] },
        classes: [],
        attemptTimeoutMs: 1_000,
        maxAttempts: 1,
        maxUsefulLatencyMs: 1_000,
        triggerService: "back",
        triggerFactor: 1,
        triggerStartMs: 0,
        triggerEndMs: 0,
        durationMs: 0,
        warmupEndMs: 0,
    };
};

const readProcessorSeconds = async (controlPort: number): Promise<number> => {
    const answer = await request(`http://${host}:${controlPort}/metrics`);
    const text = await answer.body.text();
    return Number(/^pomelovalve_processor_seconds ([\d.e-]+)$/mu.exec(text)![1]);
};

const sendOnce = (path: Path): Promise<number> => {
    const startedAtMs = performance.now();
    return new Promise((resolve, reject) => {
        let status = 0;
        path.pool.dispatch({ method: "GET", path: "/items/1", headers: [...path.headers] }, {
            onConnect: () => undefined,
            onHeaders: found => {
                status = found;
                return true;
            },
            onData: () => true,
            onComplete: () =>
                status === 200 ? resolve(performance.now() - startedAtMs) : reject(new Error(String(status))),
            onError: reject,
        });
    });
};

/** Sends calls over all paths in turn, each at the same steady rate. */
const measurePaths = async (paths: readonly Path[], options: LatencyOptions) => {
    const histograms = paths.map(() => build({ highestTrackableValue: highestMicroseconds }));
    const failures = paths.map(() => 0);
    const total = options.ratePerSecond * options.seconds;
    const intervalMs = 1_000 / options.ratePerSecond / paths.length;
    const startedAtMs = performance.now();
    const open: Promise<void>[] = [];
    for (let call = 0; call < total * paths.length; call += 1) {
        const waitMs = startedAtMs + call * intervalMs - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        const index = call % paths.length;
        open.push(
            sendOnce(paths[index]!).then(
                tookMs => histograms[index]!.recordValue(Math.max(1, Math.round(tookMs * microsecondsPerMs))),
                () => {
                    failures[index] = failures[index]! + 1;
                },
            ),
        );
    }
    await Promise.all(open);
    return paths.map((path, index) => ({ path, histogram: histograms[index]!, failures: failures[index]! }));
};

const openPool = (port: number): Pool => new Pool(`http://${host}:${port}`, { connections: 64, pipelining: 1 });

const listPaths = (cluster: Cluster, relayPort: number): readonly Path[] => {
    const findPorts = (endpoint: string) => cluster.ports.find(ports => ports.endpoint === endpoint)!;
    const front = findPorts("front-a");
    const back = findPorts("back-a");
    const control = (ports: typeof front): string => String(ports.control);
    return [
        { name: "direct", pool: openPool(back.upstream), headers: [], processes: [] },
        { name: "bare relay", pool: openPool(relayPort), headers: [], processes: [] },
        { name: "one node (ingress)", pool: openPool(back.callers), headers: [], processes: [control(back)] },
        {
            name: "two nodes (egress, ingress)",
            pool: openPool(front.egress),
            headers: ["host", "back"],
            processes: [control(front), control(back)],
        },
    ];
};

/** Measures how much processor time the nodes of a path need for a call, on that path alone. */
const measureProcessor = async (path: Path, options: LatencyOptions): Promise<number> => {
    const read = async (): Promise<number> => {
        const seconds = await Promise.all(path.processes.map(port => readProcessorSeconds(Number(port))));
        return seconds.reduce((sum, value) => sum + value, 0);
    };
    const before = await read();
    const [measured] = await measurePaths([path], { ...options, seconds: Math.ceil(options.seconds / 3) });
    return (await read() - before) * 1e6 / measured!.histogram.totalCount;
};

const formatMs = (value: number): string => value.toFixed(3);

/** Renders the figures as a table, with what each path adds to the direct one. */
export const renderLatency = (figures: readonly PathResult[]): string => {
    const direct = figures[0]!;
    const head = [
        "PATH",
        "CALLS",
        "FAILED",
        "P50 MS",
        "P90 MS",
        "P99 MS",
        "ADDED P50",
        "ADDED P99",
        "P50 RATIO",
        "NODE US/CALL",
    ];
    return renderTable(
        head,
        figures.map(path => [
            path.name,
            path.calls,
            path.failures,
            formatMs(path.p50Ms),
            formatMs(path.p90Ms),
            formatMs(path.p99Ms),
            formatMs(path.p50Ms - direct.p50Ms),
            formatMs(path.p99Ms - direct.p99Ms),
            (path.p50Ms / direct.p50Ms).toFixed(2),
            path.nodeMicroseconds.toFixed(0),
        ]),
    );
};

const measureCluster = async (cluster: Cluster, options: LatencyOptions): Promise<readonly PathResult[]> => {
    const [relayPort] = await findFreePorts(1);
    const back = cluster.ports.find(ports => ports.endpoint === "back-a")!;
    cluster.processes.start({
        name: "relay",
        file: process.execPath,
        args: [`${options.distFolder}/standins.cjs`, "relay", String(relayPort), String(back.upstream)],
    });
    await new Promise(resolve => setTimeout(resolve, 1_000));
    const paths = listPaths(cluster, relayPort!);
    await measurePaths(paths, { ...options, seconds: 3 });
    const measured = await measurePaths(paths, options);
    const figures: PathResult[] = [];
    for (const { path, histogram, failures } of measured) {
        figures.push({
            name: path.name,
            calls: histogram.totalCount,
            failures,
            p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMs,
            p90Ms: histogram.getValueAtPercentile(90) / microsecondsPerMs,
            p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMs,
            nodeMicroseconds: path.processes.length === 0 ? 0 : await measureProcessor(path, options),
        });
    }
    await Promise.all(paths.map(path => path.pool.destroy()));
    return figures;
};

/** Runs the measurement; prints its table and writes it. */
export const runLatency = async (options: LatencyOptions): Promise<void> => {
    mkdirSync(options.outFolder, { recursive: true });
    const cluster = new Cluster(createScenario(), {
        kind: "node",
        folder: `${options.outFolder}/work`,
        distFolder: options.distFolder,
        program: { file: `${options.distFolder}/pomelovalve`, args: [] },
    });
    try {
        await cluster.start();
        const figures = await measureCluster(cluster, options);
        const machine = `${cpus().length} x ${cpus()[0]?.model ?? "unknown"}, Node.js ${process.version}`;
        const heading = `rate per path ${options.ratePerSecond}/s, ${options.seconds} s, ${machine}\n`;
        const text = `${heading}\n${renderLatency(figures)}`;
        writeFileSync(`${options.outFolder}/latency-${options.ratePerSecond}.txt`, text);
        process.stdout.write(text);
    }
    finally {
        await cluster.stop();
    }
};
