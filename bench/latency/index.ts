/** Measures the latency and processor time that nodes add to a call in comparison with a direct call. */
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
/** Longest duration that the histograms can record. */
const maxTrackableMicroseconds = 10_000_000;

/** Load of the latency measurement, and folders of its programs and results. */
export interface LatencyOptions {
    /** Folder that contains the built programs. */
    readonly distFolder: string;
    readonly outFolder: string;
    /** Calls per second on each path. */
    readonly ratePerSecond: number;
    /** Duration of the latency measurement, in which all paths take turns. */
    readonly seconds: number;
}

/** A path from the caller to the upstream, with the connections for calls on it. */
interface CallPath {
    readonly name: string;
    readonly pool: Pool;
    readonly headers: readonly string[];
    /** Control ports of the nodes on the path, which serve their metrics. */
    readonly controlPorts: readonly string[];
}

/** Measurements on one path; latencies are those of successful calls. */
export interface PathResult {
    readonly name: string;
    /** Number of successful calls. */
    readonly calls: number;
    readonly failures: number;
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
    /** Mean processor time of all nodes on the path for one call, in microseconds, or 0 for a path without nodes. */
    readonly nodeMicrosecondsPerCall: number;
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
    const route = { method: "GET", pathPrefix: "/items/", workMs: 0, idempotent: true, nestedCalls: [] };
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

/** Sends a call. Resolves to its duration in milliseconds. Rejects if the answer's status is not 200. */
const sendCall = (path: CallPath): Promise<number> => {
    const startedAtMs = performance.now();
    return new Promise((resolve, reject) => {
        let statusCode = 0;
        path.pool.dispatch({ method: "GET", path: "/items/1", headers: [...path.headers] }, {
            onConnect: () => undefined,
            onHeaders: receivedCode => {
                statusCode = receivedCode;
                return true;
            },
            onData: () => true,
            onComplete: () =>
                statusCode === 200 ? resolve(performance.now() - startedAtMs) : reject(new Error(String(statusCode))),
            onError: reject,
        });
    });
};

/** Sends calls at a constant rate, on each path in turn, and records the durations of successful calls. */
const measurePaths = async (paths: readonly CallPath[], options: LatencyOptions) => {
    const histograms = paths.map(() => build({ highestTrackableValue: maxTrackableMicroseconds }));
    const failures = paths.map(() => 0);
    const callsPerPath = options.ratePerSecond * options.seconds;
    const intervalMs = 1_000 / options.ratePerSecond / paths.length;
    const startedAtMs = performance.now();
    const pending: Promise<void>[] = [];
    for (let callIndex = 0; callIndex < callsPerPath * paths.length; callIndex += 1) {
        const waitMs = startedAtMs + callIndex * intervalMs - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        const pathIndex = callIndex % paths.length;
        pending.push(
            sendCall(paths[pathIndex]!).then(
                durationMs =>
                    histograms[pathIndex]!.recordValue(Math.max(1, Math.round(durationMs * microsecondsPerMs))),
                () => {
                    failures[pathIndex] = failures[pathIndex]! + 1;
                },
            ),
        );
    }
    await Promise.all(pending);
    return paths.map((path, index) => ({ path, histogram: histograms[index]!, failures: failures[index]! }));
};

const openPool = (port: number): Pool => new Pool(`http://${host}:${port}`, { connections: 64, pipelining: 1 });

const listPaths = (cluster: Cluster, relayPort: number): readonly CallPath[] => {
    const findPorts = (endpoint: string) => cluster.ports.find(ports => ports.endpoint === endpoint)!;
    const front = findPorts("front-a");
    const back = findPorts("back-a");
    const getControlPort = (ports: typeof front): string => String(ports.control);
    return [
        { name: "direct", pool: openPool(back.upstream), headers: [], controlPorts: [] },
        { name: "bare relay", pool: openPool(relayPort), headers: [], controlPorts: [] },
        { name: "one node (ingress)", pool: openPool(back.callers), headers: [], controlPorts: [getControlPort(back)] },
        {
            name: "two nodes (egress, ingress)",
            pool: openPool(front.egress),
            headers: ["host", "back"],
            controlPorts: [getControlPort(front), getControlPort(back)],
        },
    ];
};

/** Measures the mean processor time of the nodes on a path for one call, in microseconds, without other load. */
const measureProcessorTime = async (path: CallPath, options: LatencyOptions): Promise<number> => {
    const readTotalSeconds = async (): Promise<number> => {
        const seconds = await Promise.all(path.controlPorts.map(port => readProcessorSeconds(Number(port))));
        return seconds.reduce((sum, value) => sum + value, 0);
    };
    const before = await readTotalSeconds();
    const [measured] = await measurePaths([path], { ...options, seconds: Math.ceil(options.seconds / 3) });
    return (await readTotalSeconds() - before) * 1e6 / measured!.histogram.totalCount;
};

const formatMs = (value: number): string => value.toFixed(3);

/** Renders the results as a table that compares each path with the first one, which has to be the direct path. */
export const renderLatency = (results: readonly PathResult[]): string => {
    const direct = results[0]!;
    const columns = [
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
        columns,
        results.map(result => [
            result.name,
            result.calls,
            result.failures,
            formatMs(result.p50Ms),
            formatMs(result.p90Ms),
            formatMs(result.p99Ms),
            formatMs(result.p50Ms - direct.p50Ms),
            formatMs(result.p99Ms - direct.p99Ms),
            (result.p50Ms / direct.p50Ms).toFixed(2),
            result.nodeMicrosecondsPerCall.toFixed(0),
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
    // The warm-up opens the connections; its results are not used.
    await measurePaths(paths, { ...options, seconds: 3 });
    const measured = await measurePaths(paths, options);
    const results: PathResult[] = [];
    for (const { path, histogram, failures } of measured) {
        results.push({
            name: path.name,
            calls: histogram.totalCount,
            failures,
            p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMs,
            p90Ms: histogram.getValueAtPercentile(90) / microsecondsPerMs,
            p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMs,
            nodeMicrosecondsPerCall: path.controlPorts.length === 0 ? 0 : await measureProcessorTime(path, options),
        });
    }
    await Promise.all(paths.map(path => path.pool.destroy()));
    return results;
};

/** Runs the measurement, prints the result table and writes it to `latency-RATE.txt` in the output folder. */
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
        const results = await measureCluster(cluster, options);
        const machine = `${cpus().length} x ${cpus()[0]?.model ?? "unknown"}, Node.js ${process.version}`;
        const heading = `rate per path ${options.ratePerSecond}/s, ${options.seconds} s, ${machine}\n`;
        const text = `${heading}\n${renderLatency(results)}`;
        writeFileSync(`${options.outFolder}/latency-${options.ratePerSecond}.txt`, text);
        process.stdout.write(text);
    }
    finally {
        await cluster.stop();
    }
};
