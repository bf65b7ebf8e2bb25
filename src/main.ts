/** Entry of the program. */
import { createProgram } from "./commands/createProgram";
import { type CommandResult, exitUsageError } from "./commands/types";

const report = (result: CommandResult): void => {
    process.stdout.write(result.output);
    process.stderr.write(result.errors);
    process.exitCode = result.code;
};

const runProgram = async (argv: readonly string[]): Promise<void> => {
    const program = createProgram(report);
    try {
        program.parse([...argv], { run: false });
        if (program.matchedCommand) {
            await program.runMatchedCommand();
            return;
        }
        if (program.options["help"]) {
            return;
        }
        const [unknown] = program.args;
        if (unknown === undefined) {
            program.outputHelp();
        }
        const errors = unknown === undefined ? "" : `unknown command "${unknown}"; see pomelovalve --help\n`;
        report({ code: exitUsageError, output: "", errors });
    }
    catch (error) {
        report({ code: exitUsageError, output: "", errors: `${(error as Error).message}\n` });
    }
};

void runProgram(process.argv);
