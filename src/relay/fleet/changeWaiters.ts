import { awaitDelay, type Clock } from "../../tasks/_lib/clock";

/** Queries of other nodes that wait for a change. */
export class ChangeWaiters {
    private readonly waiters = new Set<() => void>();

    constructor(private readonly clock: Clock) {}

    /** Resolves at the next `release`, or after `waitMs` milliseconds. */
    async awaitRelease(waitMs: number): Promise<void> {
        let resolveWait = (): void => undefined;
        const released = new Promise<void>(resolve => {
            resolveWait = resolve;
            this.waiters.add(resolveWait);
        });
        await Promise.race([released, awaitDelay(this.clock, waitMs)]);
        this.waiters.delete(resolveWait);
    }

    /** Lets all waiting queries be answered. */
    release(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(resolveWait => resolveWait());
    }
}
