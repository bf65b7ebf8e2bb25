/** Replaces the nodes of one build by those of another one by one under load, and back. */
import { type OperatorRoute } from "../../platform/testing/platformFiles";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { awaitDelay } from "../_lib/awaitDelay";
import { findProgram } from "../_lib/targetNode";
import { judgeUpgrade } from "./judgeUpgrade";
import { sendOnce, UpgradeCallers } from "./upgradeCallers";
import { type Build, createNodes, describePorts, UpgradeFleet } from "./upgradeFleet";

/** Work trees of both builds, and the size of the fleet. */
export interface UpgradeOptions {
    readonly fromFolder: string;
    readonly toFolder: string;
    readonly outFolder: string;
    readonly nodes: number;
}

const services = ["desk", "dock"];
const routes: readonly OperatorRoute[] = [
    { name: "lookup", host: "desk.example", prefix: "/lookup/", idempotent: true, service: "desk" },
    { name: "booking", host: "dock.example", prefix: "/booking/", idempotent: false, service: "dock" },
];
const callersPerNode = 2;
/** Time in which all nodes run before the first is replaced, and for which half of each build stays, in milliseconds. */
const standingMs = 4_000;
/** Time within which a configuration has to be in force on all nodes, in milliseconds. */
const adoptionMs = 2_000;
const okStatus = 200;
const shownFaults = 20;

/** Publishes a version with a route of its own; returns the nodes that don't serve that route in time. */
const checkAdoption = async (fleet: UpgradeFleet, version: number): Promise<readonly string[]> => {
    const route = { ...routes[0]!, name: `v-${version}`, prefix: `/v-${version}/` };
    fleet.publish(version, [...routes, route]);
    await awaitDelay(adoptionMs);
    const nodes = fleet.nodes.filter(({ isReplaced }) => !isReplaced);
    const answers = await Promise.all(nodes.map(node => {
        const requestId = `v-${version}-${node.place.name}`;
        return sendOnce(node, route, requestId, { agent: false, path: `${route.prefix}1` });
    }));
    return answers
        .filter(({ status }, index) => status !== okStatus && !nodes[index]!.isReplaced)
        .map(({ requestId, build, status }) => `${requestId} (${build}): ${status} after ${adoptionMs} ms`);
};

/** Plays the upgrade forward and back, and prints what was seen; resolves to whether it was correct. */
export const runUpgrade = async (
    { fromFolder, toFolder, outFolder, nodes: count }: UpgradeOptions,
): Promise<boolean> => {
    const from: Build = { name: "from", folder: fromFolder };
    const to: Build = { name: "to", folder: toFolder };
    [from, to].forEach(({ folder }) => findProgram(folder));
    const fleet = new UpgradeFleet(createNodes(count, services, from), outFolder);
    const callers = new UpgradeCallers(fleet, routes);
    const faults: string[] = [];
    try {
        await fleet.start(routes);
        const running = callers.run(callersPerNode);
        let version = 1;
        await awaitDelay(standingMs);
        for (const build of [to, from]) {
            for (const [index, node] of fleet.nodes.entries()) {
                version += 1;
                const [, late] = await Promise.all([fleet.updateNode(node, build), checkAdoption(fleet, version)]);
                faults.push(...late);
                await awaitDelay(index + 1 === Math.floor(count / 2) ? standingMs : 0);
            }
        }
        callers.end();
        await running;
    }
    catch (error) {
        throw new Error(`${(error as Error).message} (ports ${describePorts()} of 127.0.1.1 and up have to be free)`);
    }
    finally {
        fleet.stop();
    }
    const verdict = judgeUpgrade(callers.records, fleet.runs);
    faults.push(...verdict.faults);
    const rows = [
        ...Object.entries(verdict.directions).map(([direction, calls]) => ["calls", direction, calls]),
        ...Object.entries(verdict.statuses).map((
            [status, calls],
        ) => ["answers", status === "0" ? "none" : status, calls]),
        ["faults", "", faults.length],
    ];
    process.stdout.write(`${renderTable(["WHAT", "KIND", "COUNT"], rows)}\n`);
    faults.slice(0, shownFaults).forEach(fault => process.stdout.write(`${fault}\n`));
    return faults.length === 0;
};
