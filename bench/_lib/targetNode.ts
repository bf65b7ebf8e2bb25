/** Starts the program of a work tree as the platform does, and asks it whether it is ready. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, existsSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { resolve } from "node:path";
import { readinessPath } from "../../platform/parseSettings";
import {
    createSettingsText,
    derivePorts,
    type NodePlace,
    readEngineFlags,
    settingsFileVariable,
} from "../../platform/testing/platformFiles";

const readyPollMs = 50;
const maxReadyPolls = 200;
const okStatus = 200;
/** Timeout of the question whether a node is ready, in milliseconds. */
const readyTimeoutMs = 1_000;

/** Returns the path of a work tree's program; fails with a clear message if it has not been built. */
export const findProgram = (workTree: string): string => {
    const program = `${workTree}/target/pomelovalve.cjs`;
    if (!existsSync(program)) {
        throw new Error(
            `${workTree} has no target/pomelovalve.cjs: run "npm ci" and "node scripts/buildTarget.mjs" there`,
        );
    }
    return program;
};

/** Where a node runs, which program it runs, and where its settings and log are written. */
export interface TargetNodeOptions {
    readonly place: NodePlace;
    readonly storePort: number;
    readonly isFirstStart: boolean;
    readonly workTree: string;
    readonly outFolder: string;
}

/** Starts a node as a process of its own; its log is appended to a file. */
export const startTargetNode = (
    { place, storePort, isFirstStart, workTree, outFolder }: TargetNodeOptions,
): ChildProcess => {
    const settingsFile = resolve(outFolder, `${place.name}.json`);
    writeFileSync(settingsFile, createSettingsText(place, storePort, isFirstStart));
    const child = spawn(process.execPath, [...readEngineFlags(workTree), findProgram(workTree)], {
        cwd: workTree,
        env: { PATH: process.env["PATH"], [settingsFileVariable]: settingsFile },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(`${outFolder}/${place.name}.log`, { flags: "a" });
    child.stdout!.pipe(log, { end: false });
    child.stderr!.pipe(log, { end: false });
    return child;
};

/** Asks a node whether it is ready; resolves to false without an answer within a second. */
export const isNodeReady = (place: NodePlace): Promise<boolean> =>
    new Promise(settle => {
        const request = get({
            host: place.host,
            port: derivePorts(place).admin,
            path: readinessPath,
            agent: false,
            timeout: readyTimeoutMs,
        });
        request.once("timeout", () => request.destroy());
        request.once("error", () => settle(false));
        request.once("response", response => {
            response.resume();
            settle(response.statusCode === okStatus);
        });
    });

/** Waits until a node says that it is ready; rejects after ten seconds. */
export const awaitNodeReady = async (place: NodePlace, outFolder: string): Promise<void> => {
    for (let poll = 0; poll < maxReadyPolls; poll += 1) {
        if (await isNodeReady(place)) {
            return;
        }
        await new Promise(settle => setTimeout(settle, readyPollMs));
    }
    throw new Error(`node ${place.name} doesn't become ready; its log is in ${outFolder}`);
};
