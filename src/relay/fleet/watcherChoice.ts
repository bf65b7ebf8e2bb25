/** Chooses which of the nodes that watch the store is asked for changes next. */

/** Time that a query of a watching node waits for a change, in milliseconds. */
const queryWaitMs = 1_000;
/** Time after which a node that had lost the store is asked again while others haven't, in milliseconds. */
const retryAfterMs = 3_000;

/** A node to ask, and how long its answer may wait for a change. */
export interface WatcherQuery {
    readonly host: string;
    /** In milliseconds. */
    readonly waitMs: number;
}

/**
 * Asks the watching nodes in turn, since one that has just lost the store doesn't know it yet. Once one of them has lost
 * the store, the next one has to answer at once, since it may have lost the store too.
 */
export class WatcherChoice {
    private turn = 0;
    /** Whether the last answer came from a node that reaches the store. */
    private wasLastReading = true;
    /** Times at which the nodes that have lost the store are asked again, by host. */
    private readonly retryTimes = new Map<string, number>();

    constructor(private readonly readNowMs: () => number) {}

    /** Chooses one of the watching nodes; there has to be one. */
    choose(hosts: readonly string[]): WatcherQuery {
        const nowMs = this.readNowMs();
        [...this.retryTimes.keys()].filter(host => !hosts.includes(host)).forEach(host => this.retryTimes.delete(host));
        const due = hosts.filter(host => (this.retryTimes.get(host) ?? -Infinity) <= nowMs);
        const candidates = due.length > 0 ? due : hosts;
        this.turn += 1;
        const host = candidates[this.turn % candidates.length]!;
        return { host, waitMs: this.wasLastReading && this.isUsable(host) ? queryWaitMs : 0 };
    }

    /** Whether a node isn't known to have lost the store. */
    isUsable(host: string): boolean {
        return !this.retryTimes.has(host);
    }

    /** Records whether a node reaches the store, as it has answered. */
    record(host: string, isReading: boolean): void {
        this.wasLastReading = isReading;
        if (isReading) {
            this.retryTimes.delete(host);
            return;
        }
        this.retryTimes.set(host, this.readNowMs() + retryAfterMs);
    }
}
