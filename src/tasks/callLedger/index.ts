/** Active calls of a node, with the retries that each has left. */
import { splitRetryAllowance } from "../../decisions/splitRetryAllowance";
import { type Call } from "../types";

interface LedgerEntry {
    readonly call: Call;
    readonly retriesLeft: number;
    /** Whether a nested call was refused for lack of capacity. */
    readonly nestedCallRefused: boolean;
}

/** Owns the retry allowance of each active call of this node. */
export class CallLedger {
    private readonly entries = new Map<string, LedgerEntry>();

    /** Number of active calls. */
    get size(): number {
        return this.entries.size;
    }

    /** Adds a call with the retries that were granted with it. */
    open(call: Call): void {
        this.entries.set(call.id, { call, retriesLeft: call.retryAllowance, nestedCallRefused: false });
    }

    /** Finds an active call. */
    find(callId: string | undefined): Call | undefined {
        return callId === undefined ? undefined : this.entries.get(callId)?.call;
    }

    /** Counts the retries that a call has left. */
    countRetriesLeft(callId: string): number {
        return this.entries.get(callId)?.retriesLeft ?? 0;
    }

    /** Takes one retry from a call's allowance; returns false if none is left. */
    takeRetry(callId: string): boolean {
        const entry = this.entries.get(callId);
        if (!entry || entry.retriesLeft < 1) {
            return false;
        }
        this.entries.set(callId, { ...entry, retriesLeft: entry.retriesLeft - 1 });
        return true;
    }

    /** Takes the part of a call's allowance that is granted to a nested call; returns that number of retries. */
    splitRetries(callId: string): number {
        const entry = this.entries.get(callId);
        if (!entry) {
            return 0;
        }
        const split = splitRetryAllowance(entry.retriesLeft);
        this.entries.set(callId, { ...entry, retriesLeft: split.kept });
        return split.granted;
    }

    /** Takes all retries that a call has left: for the node that serves it instead, or to return them to its sender. */
    takeAllRetries(callId: string): number {
        const retriesLeft = this.countRetriesLeft(callId);
        const entry = this.entries.get(callId);
        if (entry) {
            this.entries.set(callId, { ...entry, retriesLeft: 0 });
        }
        return retriesLeft;
    }

    /** Returns the retries that a nested call has not used, at most as many as it was granted. */
    releaseRetries(callId: string, granted: number, unused: number): void {
        const entry = this.entries.get(callId);
        if (!entry) {
            return;
        }
        const returned = Math.max(0, Math.min(granted, unused));
        this.entries.set(callId, { ...entry, retriesLeft: entry.retriesLeft + returned });
    }

    /** Records that a nested call was refused for lack of capacity. */
    recordNestedCallRefused(callId: string): void {
        const entry = this.entries.get(callId);
        if (entry) {
            this.entries.set(callId, { ...entry, nestedCallRefused: true });
        }
    }

    /** Whether a nested call of a call was refused for lack of capacity. */
    isNestedCallRefused(callId: string): boolean {
        return this.entries.get(callId)?.nestedCallRefused ?? false;
    }

    /** Removes a call; nested calls that it makes afterwards get no retries. */
    close(callId: string): void {
        this.entries.delete(callId);
    }
}
