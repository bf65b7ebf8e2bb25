/** Queries of other nodes that wait for a change. */
export class ChangeWaiters {
    private readonly waiters = new Set<() => void>();

    constructor(private readonly awaitDelay: (delayMs: number) => Promise<void>) {}

    /** Resolves at the next `release`, or after `waitMs` milliseconds. */
    async awaitRelease(waitMs: number): Promise<void> {
        let resolveWait = (): void => undefined;
        const released = new Promise<void>(resolve => {
            resolveWait = resolve;
            this.waiters.add(resolveWait);
        });
        await Promise.race([released, this.awaitDelay(waitMs)]);
        this.waiters.delete(resolveWait);
    }

    /** Lets all waiting queries be answered. */
    release(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(resolveWait => resolveWait());
    }
}
