/** Tasks by which a node learns changes, each in a loop that goes on after any failure. */
import { type Clock } from "../../tasks/_lib/clock";
import { SupervisedLoop } from "../../tasks/_lib/supervisedLoop";

/**
 * Longest time of a turn of a task, in milliseconds: that of a read of all pages of the store and of a query of another
 * node, each with its timeout, and of the delay after them.
 */
const maxTurnMs = 6_000;

/** A task: its name for the log, and what it does in one turn. */
export interface LearningTask {
    readonly name: string;
    readonly runTurn: () => Promise<void>;
}

/** Runs tasks until it is stopped. */
export class LearningLoops {
    private readonly loops: readonly SupervisedLoop[];

    /** `onFailed` is called with the name of a task and the exception of its turn, or an error that says that it didn't end. */
    constructor(tasks: readonly LearningTask[], clock: Clock, onFailed: (task: string, error: Error) => void) {
        this.loops = tasks.map(({ name, runTurn }) =>
            new SupervisedLoop(runTurn, { clock, maxTurnMs, onFailed: error => onFailed(name, error) })
        );
    }

    /** Whether a task fails again and again. */
    get isFailing(): boolean {
        return this.loops.some(loop => loop.isFailing);
    }

    start(): void {
        this.loops.forEach(loop => loop.start());
    }

    stop(): void {
        this.loops.forEach(loop => loop.stop());
    }
}
