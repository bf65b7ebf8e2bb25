/** Command line of the benchmarks and experiments. */
import { cac } from "cac";
import { oddEntryKinds } from "../platform/testing/oddEntries";
import { runCapacity } from "./capacity";
import { runDemo } from "./demo";
import { runLatency } from "./latency";
import { runLimits } from "./limits";
import { runLoads } from "./loads";
import { reportSoak } from "./soak";
import { soakKinds } from "./soak/types";
import { runUpgrade } from "./upgrade";
import { runVirtual } from "./virtual";
import { type ControlKind } from "./virtual/types";

const distFolder = __dirname;
const minNodes = 4;
const maxNodes = 60;
const program = cac("bench");

/** Returns a number of nodes that can run as processes on one machine; throws for any other. */
const checkNodeCount = (nodes: number): number => {
    if (!Number.isInteger(nodes) || nodes < minNodes || nodes > maxNodes) {
        throw new Error(`--nodes ${nodes}: not a whole number from ${minNodes} to ${maxNodes}`);
    }
    return nodes;
};

/** Splits the value of an option at its commas; throws if a part isn't one of the known names. */
const parseList = <Name extends string>(option: string, text: string, names: readonly Name[]): readonly Name[] =>
    text.split(",").map(part => {
        const name = names.find(known => known === part);
        if (name === undefined) {
            throw new Error(`${option}: "${part}" is none of ${names.join(", ")}`);
        }
        return name;
    });

program
    .command("demo", "Run the Ertis call graph with a slow fuelpost, without and with pomelovalve")
    .option("--seed <number>", "Seed of the load", { default: 1 })
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/demo` })
    .example("npm run demo -- --seed 2")
    .action((options: { readonly seed: number; readonly out: string; }) =>
        runDemo({ distFolder, outFolder: options.out, seed: options.seed })
    );

program
    .command("latency", "Measure what the nodes add to a call, beside the direct path")
    .option("--rate <number>", "Calls per second on each path", { default: 160 })
    .option("--seconds <number>", "Length of the measurement", { default: 15 })
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/latency` })
    .example("node dist/bench.cjs latency --rate 1600")
    .action((options: { readonly rate: number; readonly seconds: number; readonly out: string; }) =>
        runLatency({ distFolder, outFolder: options.out, ratePerSecond: options.rate, seconds: options.seconds })
    );

program
    .command("virtual", "Run the experiments on the decisions on a virtual clock")
    .option("--seed <number>", "Seed of the load", { default: 1 })
    .option("--graph <name>", "Only one graph: ertis-small, ertis or cai")
    .option("--only <control>", "Only one kind of control: none, fixed or pomelovalve")
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/virtual` })
    .example("node dist/bench.cjs virtual --seed 2")
    .action((
        options: {
            readonly seed: number;
            readonly out: string;
            readonly only?: ControlKind;
            readonly graph?: string;
        },
    ) => runVirtual({
        outFolder: options.out,
        seed: options.seed,
        graph: options.graph,
        controls: options.only === undefined ? undefined : [options.only],
    }));

program
    .command("capacity", "Measure what a node costs at several sizes of the call graph")
    .option("--largest", "Only the largest size")
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/capacity` })
    .example("node dist/bench.cjs capacity --out /tmp/capacity")
    .action((options: { readonly out: string; readonly largest?: boolean; }) =>
        runCapacity({ distFolder, outFolder: options.out, largestOnly: options.largest === true })
    );

program
    .command("limits", "Compare laws of the concurrency limit on a virtual clock")
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/limits` })
    .example("node dist/bench.cjs limits")
    .action((options: { readonly out: string; }) => runLimits({ outFolder: options.out, seeds: [1, 2, 3] }));

program
    .command("loads", "Play heavy loads on relay nodes on a virtual clock")
    .option("--seeds <number>", "Number of seeds of each load", { default: 3 })
    .option("--only <text>", "Only loads whose name contains a text")
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/loads` })
    .example("node dist/bench.cjs loads --only surge")
    .action((options: { readonly seeds: number; readonly only?: string; readonly out: string; }) =>
        runLoads({
            outFolder: options.out,
            seeds: Array.from({ length: options.seeds }, (unused, index) => index + 1),
            only: options.only,
        })
    );

program
    .command("upgrade", "Replace nodes of one build by those of another under load, and back")
    .option("--from <folder>", "Work tree of the build before, with its target/ built")
    .option("--to <folder>", "Work tree of the build after, with its target/ built", { default: `${distFolder}/..` })
    .option("--nodes <number>", "Number of nodes, 4 to 60", { default: 8 })
    .option("--out <folder>", "Folder for settings and logs", { default: `${distFolder}/upgrade` })
    .example("node dist/bench.cjs upgrade --from ../before")
    .action(async (
        options: { readonly from?: string; readonly to: string; readonly nodes: number; readonly out: string; },
    ) => {
        if (options.from === undefined) {
            throw new Error("--from is missing: it names the work tree of the build before");
        }
        const nodes = checkNodeCount(options.nodes);
        const isCorrect = await runUpgrade({
            fromFolder: options.from,
            toFolder: options.to,
            outFolder: options.out,
            nodes,
        });
        process.exitCode = isCorrect ? 0 : 1;
    });

program
    .command("soak", "Run a fleet of real processes through changes, leavings, disruptions and odd entries")
    .option("--seed <number>", "Seed of the events", { default: 1 })
    .option("--seconds <number>", "Length of the load", { default: 120 })
    .option("--nodes <number>", "Number of nodes, 4 to 60", { default: 16 })
    .option("--kinds <list>", "Kinds of events, separated by commas", { default: soakKinds.join(",") })
    .option("--entries <list>", "Kinds of odd entries, separated by commas", {
        default: Object.keys(oddEntryKinds).join(","),
    })
    .option("--builds <list>", "Work trees whose target/ the nodes run in turn", { default: `${distFolder}/..` })
    .option("--port <number>", "First of the ports that nodes use on 127.0.1.1 and up", { default: 24_000 })
    .option("--out <folder>", "Folder for settings, logs and the list of events", { default: `${distFolder}/soak` })
    .example("node dist/bench.cjs soak --seed 3 --kinds config,drain,odd --entries nestedArrays")
    .action(async (
        options: {
            readonly seed: number;
            readonly seconds: number;
            readonly nodes: number;
            readonly kinds: string;
            readonly entries: string;
            readonly builds: string;
            readonly port: number;
            readonly out: string;
        },
    ) => {
        const kinds = parseList("--kinds", options.kinds, soakKinds);
        const entryKinds = parseList("--entries", options.entries, Object.keys(oddEntryKinds));
        const isCorrect = await reportSoak({
            seed: options.seed,
            seconds: options.seconds,
            nodes: checkNodeCount(options.nodes),
            kinds,
            entryKinds,
            workTrees: options.builds.split(","),
            firstPort: options.port,
            outFolder: options.out,
        });
        process.exitCode = isCorrect ? 0 : 1;
    });

program.help();

const runProgram = async (): Promise<void> => {
    program.parse(process.argv, { run: false });
    if (program.matchedCommand) {
        await program.runMatchedCommand();
        return;
    }
    program.outputHelp();
};

runProgram().catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
});
