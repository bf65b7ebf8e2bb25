/** Measures memory and processor time of a node, idle and per change, at several sizes of the call graph. */
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { request } from "undici";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { createPolicyLog } from "../../src/policy/createPolicyLog";
import { deriveChain } from "../../src/policy/deriveChain";
import { patchPolicyLog } from "../../src/policy/patchPolicyLog";
import { type PolicyLog, type PolicyVersion } from "../../src/policy/types";
import { findFreePorts } from "../../src/testing/findFreePort";
import { awaitAnswer, sendStandInCommand } from "../_lib/cluster";
import { ProcessGroup } from "../_lib/processGroup";
import { createLargeInstances, createLargePolicy, type GraphSize } from "./createLargeGraph";

const host = "127.0.0.1";
const sizes: readonly GraphSize[] = [
    { services: 4, endpoints: 12 },
    { services: 48, endpoints: 400 },
    { services: 95, endpoints: 800 },
    { services: 190, endpoints: 1_600 },
];
const idleMs = 10_000;
const patchCount = 10;
const listCount = 10;
const logTailLength = 50;
const pauseAfterChangeMs = 400;

/** Options of the measurement. */
export interface CapacityOptions {
    /** Folder of the built programs. */
    readonly distFolder: string;
    readonly outFolder: string;
    /** Whether to measure only the largest size. */
    readonly largestOnly: boolean;
}

/** Metrics of a node at one time. */
interface NodeMetrics {
    readonly residentBytes: number;
    readonly processorSeconds: number;
    readonly version: number;
}

/** Results at one size of the call graph. */
interface SizeResult {
    readonly size: GraphSize;
    readonly logBytes: number;
    readonly listBytes: number;
    /** Resident memory after the idle period. */
    readonly idleBytes: number;
    /** Resident memory after all changes. */
    readonly bytesAfterChanges: number;
    /** Processor time of the idle node, as a share of one core. */
    readonly idleCoreShare: number;
    /** Processor time of each policy patch. */
    readonly patchMs: number;
    /** Processor time of each instance list. */
    readonly listMs: number;
    /** Longest time from publishing a patch until the node has adopted it. */
    readonly slowestAdoptionMs: number;
}

const awaitDelay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const readGauge = (text: string, name: string): number =>
    Number(new RegExp(`^${name} ([\\d.e+-]+)$`, "mu").exec(text)?.[1] ?? 0);

const readNodeMetrics = async (port: number): Promise<NodeMetrics> => {
    const answer = await request(`http://${host}:${port}/metrics`);
    const text = await answer.body.text();
    return {
        residentBytes: readGauge(text, "pomelovalve_resident_memory_bytes"),
        processorSeconds: readGauge(text, "pomelovalve_processor_seconds"),
        version: readGauge(text, "pomelovalve_policy_version"),
    };
};

const createMetadata = (version: number) => ({
    author: "bench",
    time: "2026-01-01T00:00:00.000Z",
    reason: `change to version ${version}`,
});

/** A policy log with its latest version, so that a further patch does not derive all versions again. */
interface LogWithLatest {
    readonly policyLog: PolicyLog;
    readonly latest: PolicyVersion;
}

const patchLog = ({ policyLog, latest }: LogWithLatest): LogWithLatest => {
    const { version } = latest;
    const patch = [{ op: "replace", path: "/services/service-0/slots", value: 100 + version }];
    const patched = patchPolicyLog(policyLog, version, patch, createMetadata(version + 1), latest);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    const { versions } = deriveChain(patched.value, latest);
    return { policyLog: patched.value, latest: versions[versions.length - 1]! };
};

/** Creates a policy log with a tail of patches, as a log has in the middle of a day. */
const createLog = (size: GraphSize): LogWithLatest => {
    const created = createPolicyLog(createLargePolicy(size), createMetadata(1));
    if (!created.ok) {
        throw new Error(JSON.stringify(created.faults));
    }
    const initial: LogWithLatest = { policyLog: created.value, latest: created.value.snapshot };
    return [...Array(logTailLength).keys()].reduce(patchLog, initial);
};

const createNodeSettings = (platformPort: number, ports: readonly number[]) => ({
    endpoint: "service-0-0",
    service: "service-0",
    failureDomain: "zone-a",
    region: "local",
    listen: {
        callers: { host, port: ports[0] },
        peers: { host, port: ports[1] },
        egress: { host, port: ports[2] },
        control: { host, port: ports[3] },
    },
    upstream: { host, port: ports[4] },
    platform: { address: { host, port: platformPort }, policyKey: "policy", instancesKey: "instances" },
});

/** Publishes patches one after the other. Returns the mean processor time of a patch and the longest adoption time. */
const measurePatches = async (log: LogWithLatest, platformPort: number, controlPort: number) => {
    const before = await readNodeMetrics(controlPort);
    let current = log;
    let slowestMs = 0;
    for (let index = 0; index < patchCount; index += 1) {
        current = patchLog(current);
        const startedAtMs = performance.now();
        await sendStandInCommand(platformPort, "/standin/values/policy", current.policyLog);
        while ((await readNodeMetrics(controlPort)).version <= before.version + index) {
            await awaitDelay(10);
        }
        slowestMs = Math.max(slowestMs, performance.now() - startedAtMs);
        await awaitDelay(pauseAfterChangeMs);
    }
    const after = await readNodeMetrics(controlPort);
    return { slowestMs, patchMs: (after.processorSeconds - before.processorSeconds) * 1_000 / patchCount };
};

/** Publishes the instance list repeatedly. Returns the mean processor time of a list, in milliseconds. */
const measureLists = async (size: GraphSize, platformPort: number, controlPort: number): Promise<number> => {
    const instances = createLargeInstances(createLargePolicy(size));
    const before = await readNodeMetrics(controlPort);
    for (let index = 0; index < listCount; index += 1) {
        await sendStandInCommand(platformPort, "/standin/values/instances", instances);
        await awaitDelay(pauseAfterChangeMs);
    }
    const after = await readNodeMetrics(controlPort);
    return (after.processorSeconds - before.processorSeconds) * 1_000 / listCount;
};

const measureSize = async (size: GraphSize, options: CapacityOptions): Promise<SizeResult> => {
    const folder = `${options.outFolder}/work`;
    mkdirSync(folder, { recursive: true });
    const processes = new ProcessGroup(`${folder}/logs`);
    const [platformPort, ...ports] = await findFreePorts(6) as [number, ...number[]];
    const controlPort = ports[3]!;
    try {
        const standInArgs = [`${options.distFolder}/standins.cjs`, "platform", String(platformPort)];
        processes.start({ name: "platform", file: process.execPath, args: standInArgs });
        await awaitAnswer(`http://${host}:${platformPort}/standin/reads`);
        const log = createLog(size);
        const instances = createLargeInstances(createLargePolicy(size));
        await sendStandInCommand(platformPort, "/standin/values/policy", log.policyLog);
        await sendStandInCommand(platformPort, "/standin/values/instances", instances);
        const settingsFile = `${folder}/node.json`;
        writeFileSync(settingsFile, JSON.stringify(createNodeSettings(platformPort, ports)));
        const program = `${options.distFolder}/pomelovalve`;
        processes.start({ name: "node", file: program, args: ["node", "--settings", settingsFile] });
        await awaitAnswer(`http://${host}:${controlPort}/readyz`);
        await awaitDelay(2_000);
        const before = await readNodeMetrics(controlPort);
        await awaitDelay(idleMs);
        const afterIdle = await readNodeMetrics(controlPort);
        const { patchMs, slowestMs } = await measurePatches(log, platformPort, controlPort);
        const listMs = await measureLists(size, platformPort, controlPort);
        return {
            size,
            logBytes: JSON.stringify(log.policyLog).length,
            listBytes: JSON.stringify(instances).length,
            idleBytes: afterIdle.residentBytes,
            bytesAfterChanges: (await readNodeMetrics(controlPort)).residentBytes,
            idleCoreShare: (afterIdle.processorSeconds - before.processorSeconds) * 1_000 / idleMs,
            patchMs,
            listMs,
            slowestAdoptionMs: slowestMs,
        };
    }
    finally {
        await processes.stop();
    }
};

const formatMegabytes = (bytes: number): string => (bytes / 1e6).toFixed(1);

/** Renders the results as a table. */
export const renderCapacity = (results: readonly SizeResult[]): string =>
    renderTable(
        [
            "SERVICES",
            "ENDPOINTS",
            "LOG KB",
            "LIST KB",
            "REST MB",
            "AFTER CHANGES MB",
            "REST % CORE",
            "CPU MS/PATCH",
            "CPU MS/LIST",
            "SLOWEST ADOPTION MS",
        ],
        results.map(result => [
            result.size.services,
            result.size.endpoints,
            (result.logBytes / 1e3).toFixed(0),
            (result.listBytes / 1e3).toFixed(0),
            formatMegabytes(result.idleBytes),
            formatMegabytes(result.bytesAfterChanges),
            (result.idleCoreShare * 100).toFixed(2),
            result.patchMs.toFixed(1),
            result.listMs.toFixed(1),
            result.slowestAdoptionMs.toFixed(0),
        ]),
    );

/** Runs the measurement, prints its table and writes it to `capacity.txt`. */
export const runCapacity = async (options: CapacityOptions): Promise<void> => {
    const results: SizeResult[] = [];
    for (const size of options.largestOnly ? sizes.slice(-1) : sizes) {
        results.push(await measureSize(size, options));
    }
    const machine = `${cpus().length} x ${cpus()[0]?.model ?? "unknown"}, Node.js ${process.version}`;
    const text = `one node, ${logTailLength} patches in the log's tail, ${machine}\n\n${renderCapacity(results)}`;
    writeFileSync(`${options.outFolder}/capacity.txt`, text);
    process.stdout.write(text);
};
