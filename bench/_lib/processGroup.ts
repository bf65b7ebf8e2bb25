/** Plain processes that an experiment starts, and ends by their ids. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync } from "node:fs";

const killAfterMs = 8_000;

/** A program with its arguments. */
export interface ProcessSpec {
    readonly name: string;
    readonly file: string;
    readonly args: readonly string[];
}

/** Owns the processes of one experiment. */
export class ProcessGroup {
    private readonly children = new Map<string, ChildProcess>();

    constructor(private readonly logFolder: string) {
        mkdirSync(logFolder, { recursive: true });
    }

    /** Starts a process; its output goes to a file of its name. */
    start(call: ProcessSpec): ChildProcess {
        const child = spawn(call.file, [...call.args], { stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(`${this.logFolder}/${call.name}.log`);
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("close", () => log.end());
        this.children.set(call.name, child);
        return child;
    }

    /** Sends a signal to a process. */
    sendSignal(name: string, signal: NodeJS.Signals): void {
        this.children.get(name)?.kill(signal);
    }

    /** Runs a process to its end; a failure is an error. */
    run(call: ProcessSpec): Promise<void> {
        const child = this.start(call);
        return new Promise((resolve, reject) => {
            child.once(
                "exit",
                code => code === 0 ? resolve() : reject(new Error(`${call.name} ended with code ${code}`)),
            );
        });
    }

    /** Ends all processes, by signal and at last by force. */
    async stop(): Promise<void> {
        await Promise.all([...this.children.values()].map(stopChild));
        this.children.clear();
    }
}

const stopChild = (child: ChildProcess): Promise<void> =>
    new Promise(resolve => {
        if (child.exitCode !== null || child.signalCode !== null) { // eslint-disable-line no-restricted-syntax
            resolve();
            return;
        }
        const timer = setTimeout(() => child.kill("SIGKILL"), killAfterMs);
        child.once("exit", () => {
            clearTimeout(timer);
            resolve();
        });
        child.kill("SIGTERM");
    });
