/** Calls that are in progress at a node, with the retries that each has left. */
import { splitRetryAllowance } from "../../decisions/splitRetryAllowance";
import { type Call } from "../types";

interface LedgerEntry {
    readonly call: Call;
    readonly retriesLeft: number;
    /** Whether a nested call was refused for lack of capacity, here or deeper in the call tree. */
    readonly nestedCallRefused: boolean;
}

/** Accounts for the retries of the calls in progress; a call and its nested calls never exceed its retry allowance. */
export class CallLedger {
    private readonly entries = new Map<string, LedgerEntry>();

    /** Number of calls in progress. */
    get size(): number {
        return this.entries.size;
    }

    /** Adds a call with its full retry allowance. */
    open(call: Call): void {
        this.entries.set(call.id, { call, retriesLeft: call.retryAllowance, nestedCallRefused: false });
    }

    /** Finds a call in progress; returns undefined if none has this identifier. */
    find(callId: string | undefined): Call | undefined {
        return callId === undefined ? undefined : this.entries.get(callId)?.call;
    }

    /** Returns the number of retries that a call has left, or 0 for an unknown call. */
    countRetriesLeft(callId: string): number {
        return this.entries.get(callId)?.retriesLeft ?? 0;
    }

    /** Uses up one retry of a call; returns false if none is left. */
    takeRetry(callId: string): boolean {
        const entry = this.entries.get(callId);
        if (!entry || entry.retriesLeft < 1) {
            return false;
        }
        this.entries.set(callId, { ...entry, retriesLeft: entry.retriesLeft - 1 });
        return true;
    }

    /** Grants a part of a call's remaining retries to a nested call; returns their number. */
    splitRetries(callId: string): number {
        const entry = this.entries.get(callId);
        if (!entry) {
            return 0;
        }
        const split = splitRetryAllowance(entry.retriesLeft);
        this.entries.set(callId, { ...entry, retriesLeft: split.kept });
        return split.granted;
    }

    /** Takes all retries that a call has left, to pass them on with it or back to its sender; returns their number. */
    takeAllRetries(callId: string): number {
        const retriesLeft = this.countRetriesLeft(callId);
        const entry = this.entries.get(callId);
        if (entry) {
            this.entries.set(callId, { ...entry, retriesLeft: 0 });
        }
        return retriesLeft;
    }

    /** Gives a call back the unused retries of a nested call, but no more than were granted to that one. */
    releaseRetries(callId: string, granted: number, unused: number): void {
        const entry = this.entries.get(callId);
        if (!entry) {
            return;
        }
        const returnedRetries = Math.max(0, Math.min(granted, unused));
        this.entries.set(callId, { ...entry, retriesLeft: entry.retriesLeft + returnedRetries });
    }

    /** Records that a nested call of this call was refused for lack of capacity. */
    recordNestedCallRefused(callId: string): void {
        const entry = this.entries.get(callId);
        if (entry) {
            this.entries.set(callId, { ...entry, nestedCallRefused: true });
        }
    }

    /** Whether a nested call of this call was refused for lack of capacity. */
    isNestedCallRefused(callId: string): boolean {
        return this.entries.get(callId)?.nestedCallRefused ?? false;
    }

    /** Removes a call; nested calls that its upstream makes afterwards get no retries. */
    close(callId: string): void {
        this.entries.delete(callId);
    }
}
