/** Child processes of an experiment. Signals are sent by process id, so that they reach no other process. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync } from "node:fs";

/** Time that a process has to exit after SIGTERM before it receives SIGKILL. */
const stopTimeoutMs = 8_000;

/** A program to start. Its name identifies the process in the group and names its log file. */
export interface ProcessSpec {
    readonly name: string;
    readonly file: string;
    readonly args: readonly string[];
}

/** Starts and stops the processes of one experiment. */
export class ProcessGroup {
    private readonly children = new Map<string, ChildProcess>();

    constructor(private readonly logFolder: string) {
        mkdirSync(logFolder, { recursive: true });
    }

    /** Starts a process and writes its output to `NAME.log` in the log folder. */
    start(spec: ProcessSpec): ChildProcess {
        const child = spawn(spec.file, [...spec.args], { stdio: ["ignore", "pipe", "pipe"] });
        const log = createWriteStream(`${this.logFolder}/${spec.name}.log`);
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("close", () => log.end());
        this.children.set(spec.name, child);
        return child;
    }

    /** Sends a signal to the process with the given name. Does nothing if the group has no such process. */
    sendSignal(name: string, signal: NodeJS.Signals): void {
        this.children.get(name)?.kill(signal);
    }

    /** Starts a process and waits until it exits. Rejects if its exit code is not 0 or a signal ended it. */
    run(spec: ProcessSpec): Promise<void> {
        const child = this.start(spec);
        return new Promise((resolve, reject) => {
            child.once(
                "exit",
                code => code === 0 ? resolve() : reject(new Error(`${spec.name} exited with code ${code}`)),
            );
        });
    }

    /** Stops all processes: sends SIGTERM, and SIGKILL to those that are still running 8 s later. */
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
        const timer = setTimeout(() => child.kill("SIGKILL"), stopTimeoutMs);
        child.once("exit", () => {
            clearTimeout(timer);
            resolve();
        });
        child.kill("SIGTERM");
    });
