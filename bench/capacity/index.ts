/** Measures the memory and processor time that a node needs when idle and per change, at several graph sizes. */
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
/** Duration of the measurement of the idle node. */
const idleMs = 10_000;
const patchCount = 10;
const instanceListCount = 10;
/** Number of patches that follow the snapshot in the policy log. */
const logTailLength = 50;
/** Time for the node to process a change before the next one is published. */
const pauseAfterChangeMs = 400;

/** Folders of the capacity measurement, and the graph sizes to measure. */
export interface CapacityOptions {
    /** Folder that contains the built programs. */
    readonly distFolder: string;
    readonly outFolder: string;
    /** Whether to measure only the largest size. */
    readonly largestOnly: boolean;
}

/** Metrics of a node, read at one point in time. */
interface NodeMetrics {
    readonly residentBytes: number;
    readonly processorSeconds: number;
    readonly policyVersion: number;
}

/** Measurements at one size of the call graph. */
interface SizeResult {
    readonly size: GraphSize;
    readonly policyLogBytes: number;
    readonly instanceListBytes: number;
    /** Resident memory after the idle period, in bytes. */
    readonly idleResidentBytes: number;
    /** Resident memory after all changes, in bytes. */
    readonly residentBytesAfterChanges: number;
    /** Processor time of the idle node, as a share of one core. */
    readonly idleCoreShare: number;
    /** Mean processor time of the node for one policy patch, in milliseconds. */
    readonly patchMs: number;
    /** Mean processor time of the node for one instance list, in milliseconds. */
    readonly instanceListMs: number;
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
        policyVersion: readGauge(text, "pomelovalve_policy_version"),
    };
};

const createMetadata = (version: number) => ({
    author: "bench",
    time: "2026-01-01T00:00:00.000Z",
    reason: `change to version ${version}`,
});

/** A policy log and its latest version. Patching with both avoids deriving all versions from the snapshot again. */
interface LogWithLatestVersion {
    readonly policyLog: PolicyLog;
    readonly latest: PolicyVersion;
}

const patchLog = ({ policyLog, latest }: LogWithLatestVersion): LogWithLatestVersion => {
    const { version } = latest;
    const patch = [{ op: "replace", path: "/services/service-0/slots", value: 100 + version }];
    const patched = patchPolicyLog(policyLog, version, patch, createMetadata(version + 1), latest);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    const { versions } = deriveChain(patched.value, latest);
    return { policyLog: patched.value, latest: versions[versions.length - 1]! };
};

/** Creates a policy log with patches after its snapshot, as a log has in the middle of a day. */
const createLog = (size: GraphSize): LogWithLatestVersion => {
    const created = createPolicyLog(createLargePolicy(size), createMetadata(1));
    if (!created.ok) {
        throw new Error(JSON.stringify(created.faults));
    }
    const initial: LogWithLatestVersion = { policyLog: created.value, latest: created.value.snapshot };
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

/** Publishes patches one by one. Returns the mean processor time and the longest adoption time, in milliseconds. */
const measurePatches = async (log: LogWithLatestVersion, platformPort: number, controlPort: number) => {
    const before = await readNodeMetrics(controlPort);
    let current = log;
    let slowestAdoptionMs = 0;
    for (let index = 0; index < patchCount; index += 1) {
        current = patchLog(current);
        const startedAtMs = performance.now();
        await sendStandInCommand(platformPort, "/standin/values/policy", current.policyLog);
        while ((await readNodeMetrics(controlPort)).policyVersion <= before.policyVersion + index) {
            await awaitDelay(10);
        }
        slowestAdoptionMs = Math.max(slowestAdoptionMs, performance.now() - startedAtMs);
        await awaitDelay(pauseAfterChangeMs);
    }
    const after = await readNodeMetrics(controlPort);
    return { slowestAdoptionMs, patchMs: (after.processorSeconds - before.processorSeconds) * 1_000 / patchCount };
};

/** Publishes the same instance list repeatedly. Returns the mean processor time per list, in milliseconds. */
const measureInstanceLists = async (size: GraphSize, platformPort: number, controlPort: number): Promise<number> => {
    const instances = createLargeInstances(createLargePolicy(size));
    const before = await readNodeMetrics(controlPort);
    for (let index = 0; index < instanceListCount; index += 1) {
        await sendStandInCommand(platformPort, "/standin/values/instances", instances);
        await awaitDelay(pauseAfterChangeMs);
    }
    const after = await readNodeMetrics(controlPort);
    return (after.processorSeconds - before.processorSeconds) * 1_000 / instanceListCount;
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
        const { patchMs, slowestAdoptionMs } = await measurePatches(log, platformPort, controlPort);
        const instanceListMs = await measureInstanceLists(size, platformPort, controlPort);
        return {
            size,
            policyLogBytes: JSON.stringify(log.policyLog).length,
            instanceListBytes: JSON.stringify(instances).length,
            idleResidentBytes: afterIdle.residentBytes,
            residentBytesAfterChanges: (await readNodeMetrics(controlPort)).residentBytes,
            idleCoreShare: (afterIdle.processorSeconds - before.processorSeconds) * 1_000 / idleMs,
            patchMs,
            instanceListMs,
            slowestAdoptionMs,
        };
    }
    finally {
        await processes.stop();
    }
};

const formatMegabytes = (bytes: number): string => (bytes / 1e6).toFixed(1);

/** Renders the results as a table with one row for each graph size. */
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
            (result.policyLogBytes / 1e3).toFixed(0),
            (result.instanceListBytes / 1e3).toFixed(0),
            formatMegabytes(result.idleResidentBytes),
            formatMegabytes(result.residentBytesAfterChanges),
            (result.idleCoreShare * 100).toFixed(2),
            result.patchMs.toFixed(1),
            result.instanceListMs.toFixed(1),
            result.slowestAdoptionMs.toFixed(0),
        ]),
    );

/** Runs the measurement, prints the result table and writes it to `capacity.txt` in the output folder. */
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
