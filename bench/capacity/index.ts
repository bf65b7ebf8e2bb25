/** What a node costs at rest and for each change, at several sizes of the call graph. */
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
const restMs = 10_000;
const patches = 10;
const lists = 10;
const tailLength = 50;
const changePauseMs = 400;

/** Where the measurement finds the program and leaves its results. */
export interface CapacityOptions {
    readonly distFolder: string;
    readonly outFolder: string;
    /** Only the largest size. */
    readonly largest: boolean;
}

interface Reading {
    readonly residentBytes: number;
    readonly processorSeconds: number;
    readonly version: number;
}

interface SizeFigures {
    readonly size: GraphSize;
    readonly logBytes: number;
    readonly listBytes: number;
    readonly restBytes: number;
    readonly busyBytes: number;
    readonly restCoreShare: number;
    readonly patchMs: number;
    readonly listMs: number;
    readonly slowestAdoptionMs: number;
}

const awaitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const readGauge = (text: string, name: string): number =>
    Number(new RegExp(`^${name} ([\\d.e+-]+)$`, "mu").exec(text)?.[1] ?? 0);

const readNode = async (port: number): Promise<Reading> => {
    const answer = await request(`http://${host}:${port}/metrics`);
    const text = await answer.body.text();
    return {
        residentBytes: readGauge(text, "pomelovalve_resident_memory_bytes"),
        processorSeconds: readGauge(text, "pomelovalve_processor_seconds"),
        version: readGauge(text, "pomelovalve_policy_version"),
    };
};

const createNote = (version: number) => ({
    author: "bench",
    time: "2026-01-01T00:00:00.000Z",
    reason: `change to version ${version}`,
});

/** A log with its latest version, so that one more patch needs no derivation of the whole chain. */
interface GrowingLog {
    readonly log: PolicyLog;
    readonly latest: PolicyVersion;
}

const patchLog = ({ log, latest }: GrowingLog): GrowingLog => {
    const { version } = latest;
    const patch = [{ op: "replace", path: "/services/service-0/slots", value: 100 + version }];
    const patched = patchPolicyLog(log, version, patch, createNote(version + 1), latest);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    const { versions } = deriveChain(patched.value, latest);
    return { log: patched.value, latest: versions[versions.length - 1]! };
};

/** A log with a tail of patches, as it is in the middle of a day. */
const createLog = (size: GraphSize): GrowingLog => {
    const created = createPolicyLog(createLargePolicy(size), createNote(1));
    if (!created.ok) {
        throw new Error(JSON.stringify(created.faults));
    }
    const first: GrowingLog = { log: created.value, latest: created.value.snapshot };
    return [...Array(tailLength).keys()].reduce(patchLog, first);
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

/** Publishes patches one after the other; returns the processor time for each and the slowest adoption. */
const measurePatches = async (log: GrowingLog, platformPort: number, controlPort: number) => {
    const before = await readNode(controlPort);
    let current = log;
    let slowestMs = 0;
    for (let index = 0; index < patches; index += 1) {
        current = patchLog(current);
        const startedAtMs = performance.now();
        await sendStandInCommand(platformPort, "/standin/values/policy", current.log);
        while ((await readNode(controlPort)).version <= before.version + index) {
            await awaitMs(10);
        }
        slowestMs = Math.max(slowestMs, performance.now() - startedAtMs);
        await awaitMs(changePauseMs);
    }
    const after = await readNode(controlPort);
    return { slowestMs, patchMs: (after.processorSeconds - before.processorSeconds) * 1_000 / patches };
};

const measureLists = async (size: GraphSize, platformPort: number, controlPort: number): Promise<number> => {
    const instances = createLargeInstances(createLargePolicy(size));
    const before = await readNode(controlPort);
    for (let index = 0; index < lists; index += 1) {
        await sendStandInCommand(platformPort, "/standin/values/instances", instances);
        await awaitMs(changePauseMs);
    }
    const after = await readNode(controlPort);
    return (after.processorSeconds - before.processorSeconds) * 1_000 / lists;
};

const measureSize = async (size: GraphSize, options: CapacityOptions): Promise<SizeFigures> => {
    const folder = `${options.outFolder}/work`;
    mkdirSync(folder, { recursive: true });
    const processes = new ProcessGroup(`${folder}/logs`);
    const [platformPort, ...ports] = await findFreePorts(6) as [number, ...number[]];
    const controlPort = ports[3]!;
    try {
        const standIn = [`${options.distFolder}/standins.cjs`, "platform", String(platformPort)];
        processes.start({ name: "platform", file: process.execPath, args: standIn });
        await awaitAnswer(`http://${host}:${platformPort}/standin/reads`);
        const log = createLog(size);
        const instances = createLargeInstances(createLargePolicy(size));
        await sendStandInCommand(platformPort, "/standin/values/policy", log.log);
        await sendStandInCommand(platformPort, "/standin/values/instances", instances);
        const settingsFile = `${folder}/node.json`;
        writeFileSync(settingsFile, JSON.stringify(createNodeSettings(platformPort, ports)));
        const program = `${options.distFolder}/pomelovalve`;
        processes.start({ name: "node", file: program, args: ["node", "--settings", settingsFile] });
        await awaitAnswer(`http://${host}:${controlPort}/readyz`);
        await awaitMs(2_000);
        const before = await readNode(controlPort);
        await awaitMs(restMs);
        const rested = await readNode(controlPort);
        const { patchMs, slowestMs } = await measurePatches(log, platformPort, controlPort);
        const listMs = await measureLists(size, platformPort, controlPort);
        return {
            size,
            logBytes: JSON.stringify(log.log).length,
            listBytes: JSON.stringify(instances).length,
            restBytes: rested.residentBytes,
            busyBytes: (await readNode(controlPort)).residentBytes,
            restCoreShare: (rested.processorSeconds - before.processorSeconds) * 1_000 / restMs,
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

/** Renders the figures as a table. */
export const renderCapacity = (figures: readonly SizeFigures[]): string =>
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
        figures.map(row => [
            row.size.services,
            row.size.endpoints,
            (row.logBytes / 1e3).toFixed(0),
            (row.listBytes / 1e3).toFixed(0),
            formatMegabytes(row.restBytes),
            formatMegabytes(row.busyBytes),
            (row.restCoreShare * 100).toFixed(2),
            row.patchMs.toFixed(1),
            row.listMs.toFixed(1),
            row.slowestAdoptionMs.toFixed(0),
        ]),
    );

/** Runs the measurement; prints its table and writes it. */
export const runCapacity = async (options: CapacityOptions): Promise<void> => {
    const figures: SizeFigures[] = [];
    for (const size of options.largest ? sizes.slice(-1) : sizes) {
        figures.push(await measureSize(size, options));
    }
    const machine = `${cpus().length} x ${cpus()[0]?.model ?? "unknown"}, Node.js ${process.version}`;
    const text = `one node, ${tailLength} patches in the log's tail, ${machine}\n\n${renderCapacity(figures)}`;
    writeFileSync(`${options.outFolder}/capacity.txt`, text);
    process.stdout.write(text);
};
