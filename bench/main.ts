/** Entry of the experiment tool. */
import { cac } from "cac";
import { runDemo } from "./demo";

const distFolder = __dirname;
const program = cac("bench");

program
    .command("demo", "Run the Ertis call graph with a slow fuelpost, without and with pomelovalve")
    .option("--seed <number>", "Seed of the load", { default: 1 })
    .option("--out <folder>", "Folder for the results", { default: `${distFolder}/demo` })
    .example("npm run demo -- --seed 2")
    .action((options: { readonly seed: number; readonly out: string; }) =>
        runDemo({ distFolder, outFolder: options.out, seed: options.seed })
    );

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
