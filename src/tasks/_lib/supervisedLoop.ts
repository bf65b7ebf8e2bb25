import { awaitDelay, type Clock } from "./clock";

/** Clock of a loop, its longest turn, and where its failures are reported. */
export interface SupervisedLoopOptions {
    readonly clock: Clock;
    /** Time after which a turn that has not ended is given up, in milliseconds. Pauses of the process don't count. */
    readonly maxTurnMs: number;
    /** Called with the exception of a turn, or with an error that says that it didn't end. */
    readonly onFailed: (error: Error) => void;
}

/** Interval of the checks whether a turn has ended, in milliseconds. */
const checkMs = 500;
/** Bounds of the delay before the next turn after failures in a row, in milliseconds. */
const initialRetryMs = 100;
const maxRetryMs = 1_000;
/** Number of failures in a row from which on the loop counts as failing; the delays between them add up to 2 s. */
const failingAfter = 5;

/**
 * Runs turns one after the other for the life of a node. An exception, or a turn that doesn't end, is reported, and the
 * next turn begins after a delay. What a turn that was given up still does has to be harmless.
 */
export class SupervisedLoop {
    private isStopped = false;
    private failures = 0;

    constructor(private readonly runTurn: () => Promise<void>, private readonly options: SupervisedLoopOptions) {}

    /** Whether the latest turns have all failed. */
    get isFailing(): boolean {
        return this.failures >= failingAfter;
    }

    start(): void {
        void this.run();
    }

    /** Begins no further turn. */
    stop(): void {
        this.isStopped = true;
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            const error = await this.awaitTurn();
            if (this.isStopped) {
                return;
            }
            this.failures = error ? this.failures + 1 : 0;
            if (error) {
                this.options.onFailed(error);
                await this.awaitRetry();
            }
        }
    }

    /** Runs a turn; resolves to the error that has ended it, or undefined. */
    private awaitTurn(): Promise<Error | undefined> {
        const { clock, maxTurnMs } = this.options;
        return new Promise(resolve => {
            let checks = 0;
            let cancelCheck: () => void = () => undefined;
            const settle = (error?: Error): void => {
                cancelCheck();
                resolve(error);
            };
            const check = (): void => {
                checks += 1;
                if (checks * checkMs >= maxTurnMs) {
                    settle(new Error(`a turn has not ended within ${maxTurnMs} ms`));
                    return;
                }
                cancelCheck = clock.startTimeout(checkMs, check);
            };
            cancelCheck = clock.startTimeout(checkMs, check);
            callAsync(this.runTurn).then(() => settle(), (reason: unknown) => settle(createError(reason)));
        });
    }

    private awaitRetry(): Promise<void> {
        const delayMs = Math.min(maxRetryMs, initialRetryMs * 2 ** (this.failures - 1));
        return awaitDelay(this.options.clock, delayMs);
    }
}

/** Calls a function; an exception that it throws at once rejects too. */
const callAsync = async (call: () => Promise<void>): Promise<void> => await call();

const createError = (reason: unknown): Error => reason instanceof Error ? reason : new Error(String(reason));
