/** Result of a command. */

/** Exit codes of the program. */
export const exitSuccess = 0;
export const exitFailure = 1;
export const exitUsageError = 2;

/** What a command prints, and the code with which the program ends. */
export interface CommandResult {
    readonly code: number;
    readonly output: string;
    readonly errors: string;
}
