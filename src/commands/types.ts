/** Result of a command. */

/** Exit codes of the program. */
export const exitDone = 0;
export const exitRefused = 1;
export const exitUsage = 2;

/** What a command prints, and the code with which the program ends. */
export interface CommandResult {
    readonly code: number;
    readonly output: string;
    readonly errors: string;
}
