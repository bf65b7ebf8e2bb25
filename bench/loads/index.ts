/** Plays heavy loads on relay nodes on a virtual clock, and reports what the callers got. */
import { mkdirSync, writeFileSync } from "node:fs";
import { renderTable } from "../../src/commands/_lib/renderTable";
import { addRequestCounts, type RequestCounts, type VirtualRelayCallers } from "../../src/testing/virtualRelayCallers";
import { heavyLoads } from "./heavyLoads";
import { type HeavyLoad, type ValuedRoute } from "./types";

/** Folder for the results, and seeds of the loads. */
export interface LoadsOptions {
    readonly outFolder: string;
    /** Each load is played once per seed. */
    readonly seeds: readonly number[];
    /** Part of the names of the loads to play; all of them if it is undefined. */
    readonly only: string | undefined;
}

const columns = ["LOAD", "ROUTE", "SENT", "IN TARGET", "LATE", "REFUSED", "FAILED", "WORTH"];
/** First and last second of the loads that count. */
const fromSecond = 1;
const toSecond = 25;
/** Width of the bar of a second whose requests were all worth what they could be, in characters. */
const barWidth = 40;

/** Computes the share of the worth that all requests could have had, 0 to 1. */
const computeWorth = (
    runs: readonly VirtualRelayCallers[],
    routes: readonly ValuedRoute[],
    from: number,
    to: number,
): number => {
    const sums = routes.map(({ route, worth, lateShare }) => {
        const { sent, inTarget, late } = addRequestCounts(runs.map(callers => callers.count(route, from, to)));
        return { possible: worth * sent, reached: worth * (inTarget + lateShare * late) };
    });
    const sum = (key: "possible" | "reached"): number => sums.reduce((total, entry) => total + entry[key], 0);
    return sum("reached") / Math.max(1, sum("possible"));
};

const createRows = ({ name, valuedRoutes }: HeavyLoad, runs: readonly VirtualRelayCallers[]) => [
    ...valuedRoutes.map(valued => {
        const counts = addRequestCounts(runs.map(callers => callers.count(valued.route, fromSecond, toSecond)));
        const formatShare = (key: keyof RequestCounts): string => (counts[key] / Math.max(1, counts.sent)).toFixed(3);
        return [
            name,
            valued.route.name,
            counts.sent,
            formatShare("inTarget"),
            formatShare("late"),
            formatShare("refused"),
            formatShare("failed"),
            computeWorth(runs, [valued], fromSecond, toSecond).toFixed(3),
        ];
    }),
    [name, "all", "", "", "", "", "", computeWorth(runs, valuedRoutes, fromSecond, toSecond).toFixed(3)],
];

/** Renders the worth of each second as a bar. */
const renderSeconds = ({ name, valuedRoutes }: HeavyLoad, runs: readonly VirtualRelayCallers[]): string =>
    Array.from({ length: toSecond - fromSecond }, (unused, index) => {
        const second = fromSecond + index;
        const worth = computeWorth(runs, valuedRoutes, second, second + 1);
        return `${String(second).padStart(2)} s ${worth.toFixed(2)} ${"#".repeat(Math.round(worth * barWidth))}`;
    }).reduce((text, line) => `${text}${line}\n`, `\n${name}\n`);

/** Plays the loads, prints the table and the plot, and writes them to `loads.txt`. */
export const runLoads = ({ outFolder, seeds, only = "" }: LoadsOptions): void => {
    const played = heavyLoads.filter(({ name }) => name.includes(only)).map(load => ({
        load,
        runs: seeds.map(seed => load.run(seed)),
    }));
    const table = renderTable(columns, played.flatMap(({ load, runs }) => createRows(load, runs)));
    const text = table + played.map(({ load, runs }) => renderSeconds(load, runs)).join("");
    mkdirSync(outFolder, { recursive: true });
    writeFileSync(`${outFolder}/loads.txt`, text);
    process.stdout.write(text);
};
