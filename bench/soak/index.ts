/** Runs a fleet of real processes through changes, leavings and disruptions, and judges what callers have seen. */
import { createWriteStream } from "node:fs";
import { type OperatorRoute } from "../../platform/testing/platformFiles";
import { createRandom } from "../../src/_lib/createRandom";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { awaitDelay } from "../_lib/awaitDelay";
import { findProgram } from "../_lib/targetNode";
import { judgeSoak, type SoakBounds, type SoakFault } from "./judgeSoak";
import { SoakCallers } from "./soakCallers";
import { SoakEvents } from "./soakEvents";
import { SoakFleet } from "./soakFleet";
import { type SoakKind, type SoakRecord } from "./types";

/** Length, size and contents of a soak. */
export interface SoakOptions {
    readonly seed: number;
    /** Length of the load, in seconds. */
    readonly seconds: number;
    readonly nodes: number;
    readonly kinds: readonly SoakKind[];
    /** Kinds of odd entries; see `oddEntryKinds`. */
    readonly entryKinds: readonly string[];
    /** Work trees whose programs the nodes run in turn. */
    readonly workTrees: readonly string[];
    /** First of the ports that each node uses on its own address. */
    readonly firstPort: number;
    readonly outFolder: string;
    readonly bounds?: SoakBounds;
}

/** What a soak has shown. */
export interface SoakResult {
    readonly record: SoakRecord;
    readonly faults: readonly SoakFault[];
}

const failureDomains = 4;
const services = ["netlist-store", "sweep-broker", "model-library", "signoff-ledger"];
const routes: readonly OperatorRoute[] = services.map((service, index) => ({
    name: service,
    host: `${service}.example`,
    prefix: "/steady/",
    idempotent: index % 2 === 0,
    service,
}));
/** Time without events at the beginning and at the end, in milliseconds. */
const calmMs = 4_000;
const msPerSecond = 1_000;
const shownFaults = 30;
const stopSignals: readonly NodeJS.Signals[] = ["SIGTERM", "SIGINT"];
const abortedExitCode = 2;

/** Plays a soak; the nodes' logs and the list of events are written to the folder. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
    const { seed, seconds, nodes, workTrees, firstPort, outFolder, kinds, entryKinds } = options;
    workTrees.forEach(findProgram);
    const fleet = new SoakFleet({ nodes, failureDomains, services, workTrees, firstPort, outFolder });
    const callers = new SoakCallers(fleet, createRandom(seed + 1));
    const eventLog = createWriteStream(`${outFolder}/events.txt`);
    const events = new SoakEvents(fleet, {
        kinds,
        entryKinds,
        sampleRandom: createRandom(seed),
        onEvent: text => eventLog.write(`${new Date().toISOString()} ${text}\n`),
    });
    const abort = (): void => {
        fleet.abort();
        process.exit(abortedExitCode);
    };
    stopSignals.forEach(signal => process.once(signal, abort));
    try {
        await fleet.start(routes);
        const calling = callers.run();
        await awaitDelay(calmMs);
        const playing = events.run();
        await awaitDelay(seconds * msPerSecond);
        events.end();
        await playing;
        await awaitDelay(calmMs);
        callers.end();
        await calling;
    }
    finally {
        stopSignals.forEach(signal => process.off(signal, abort));
        await fleet.stop();
        eventLog.end();
    }
    const { calls, probes } = callers;
    const { runs, leavings, disruptions, exits, routeLives } = fleet;
    const record = { calls, probes, runs, leavings, disruptions, exits, routes: [...routeLives.values()] };
    return { record, faults: judgeSoak(record, options.bounds) };
};

const countBy = (labels: readonly string[]): readonly (readonly [string, number])[] => {
    const counts = new Map<string, number>();
    labels.forEach(label => counts.set(label, (counts.get(label) ?? 0) + 1));
    return [...counts].sort(([first], [second]) => first < second ? -1 : 1);
};

/** Plays a soak and prints what was seen; resolves to whether no fault was found. */
export const reportSoak = async (options: SoakOptions): Promise<boolean> => {
    const { record, faults } = await runSoak(options);
    const rows = [
        ...countBy(record.calls.map(({ status }) => status === 0 ? "none" : String(status)))
            .map(([status, count]) => ["answers", status, count]),
        ...countBy(record.disruptions.map(({ kind }) => kind)).map(([kind, count]) => ["disruptions", kind, count]),
        ["leavings", "", record.leavings.length],
        ["routes", "", record.routes.length],
        ...countBy(faults.map(({ rule }) => rule)).map(([rule, count]) => ["faults", rule, count]),
        ["faults", "all", faults.length],
    ];
    process.stdout.write(`seed ${options.seed}\n${renderTable(["WHAT", "KIND", "COUNT"], rows)}\n`);
    faults.slice(0, shownFaults).forEach(({ rule, atMs, node, text }) =>
        process.stdout.write(`${rule} ${atMs === 0 ? "" : new Date(atMs).toISOString()} ${node}: ${text}\n`)
    );
    return faults.length === 0;
};
