/** Ledger of the calls under way at a node: who they belong to and which retries they have left. */
import { splitRetryAllowance } from "../../decisions/splitRetryAllowance";
import { type Call } from "../types";

interface LedgerEntry {
    readonly call: Call;
    readonly retriesLeft: number;
    /** Whether a child call was refused for lack of room. */
    readonly nestedCallRefused: boolean;
}

/** Owns the retry allowance of each call that is under way at this node. */
export class CallLedger {
    private readonly entries = new Map<string, LedgerEntry>();

    /** Number of calls under way. */
    get size(): number {
        return this.entries.size;
    }

    open(call: Call): void {
        this.entries.set(call.id, { call, retriesLeft: call.retryAllowance, nestedCallRefused: false });
    }

    find(callId: string | undefined): Call | undefined {
        return callId === undefined ? undefined : this.entries.get(callId)?.call;
    }

    /** Number of retries that a call has left. */
    countRetriesLeft(callId: string): number {
        return this.entries.get(callId)?.retriesLeft ?? 0;
    }

    /** Takes one retry out of a call's allowance; false when there is none. */
    takeRetry(callId: string): boolean {
        const entry = this.entries.get(callId);
        if (!entry || entry.retriesLeft < 1) {
            return false;
        }
        this.entries.set(callId, { ...entry, retriesLeft: entry.retriesLeft - 1 });
        return true;
    }

    /** Splits off the part of a call's allowance that goes with a child call. */
    splitRetries(callId: string): number {
        const entry = this.entries.get(callId);
        if (!entry) {
            return 0;
        }
        const split = splitRetryAllowance(entry.retriesLeft);
        this.entries.set(callId, { ...entry, retriesLeft: split.kept });
        return split.granted;
    }

    /** Takes the whole allowance of a call, for a node that serves the call in this one's place. */
    takeAllRetries(callId: string): number {
        const left = this.countRetriesLeft(callId);
        const entry = this.entries.get(callId);
        if (entry) {
            this.entries.set(callId, { ...entry, retriesLeft: 0 });
        }
        return left;
    }

    /** Gives back what a child call has not used; never more than it was granted. */
    releaseRetries(callId: string, granted: number, unused: number): void {
        const entry = this.entries.get(callId);
        if (!entry) {
            return;
        }
        const returned = Math.max(0, Math.min(granted, unused));
        this.entries.set(callId, { ...entry, retriesLeft: entry.retriesLeft + returned });
    }

    /** Records that a child call was refused for lack of room. */
    recordNestedCallRefused(callId: string): void {
        const entry = this.entries.get(callId);
        if (entry) {
            this.entries.set(callId, { ...entry, nestedCallRefused: true });
        }
    }

    /** Whether a child call of a call was refused for lack of room. */
    isNestedCallRefused(callId: string): boolean {
        return this.entries.get(callId)?.nestedCallRefused ?? false;
    }

    /** Closes a call; later child calls of it get no retries. */
    close(callId: string): void {
        this.entries.delete(callId);
    }
}
