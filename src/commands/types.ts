/** Types and exit codes of the commands. */

/** Exit code of a command that succeeded. */
export const exitSuccess = 0;
/** Exit code of a command whose input has faults. */
export const exitFailure = 1;
/** Exit code of a command that has wrong arguments or cannot obtain the requested data. */
export const exitUsageError = 2;

/** Output and exit code of a command. */
export interface CommandResult {
    readonly code: number;
    /** Text for standard output. */
    readonly output: string;
    /** Text for standard error. */
    readonly errors: string;
}
