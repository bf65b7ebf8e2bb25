/** Entry point of the command line program. */
import { createProgram } from "./commands/createProgram";
import { type CommandResult, exitUsageError } from "./commands/types";

const reportResult = (result: CommandResult): void => {
    process.stdout.write(result.output);
    process.stderr.write(result.errors);
    process.exitCode = result.code;
};

const runProgram = async (argv: readonly string[]): Promise<void> => {
    const program = createProgram(reportResult);
    try {
        program.parse([...argv], { run: false });
        if (program.matchedCommand) {
            await program.runMatchedCommand();
            return;
        }
        if (program.options["help"]) {
            return;
        }
        const [unknownCommand] = program.args;
        if (unknownCommand === undefined) {
            program.outputHelp();
        }
        const errors = unknownCommand === undefined
            ? ""
            : `unknown command "${unknownCommand}"; see pomelovalve --help\n`;
        reportResult({ code: exitUsageError, output: "", errors });
    }
    catch (error) {
        reportResult({ code: exitUsageError, output: "", errors: `${(error as Error).message}\n` });
    }
};

void runProgram(process.argv);
