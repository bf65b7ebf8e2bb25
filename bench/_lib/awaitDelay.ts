/** Resolves after a delay, in milliseconds. Unlike the clock's, its timer keeps the process running. */
export const awaitDelay = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));
