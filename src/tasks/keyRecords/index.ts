/** Records of non-idempotent requests by idempotency key, kept at the home of each key. */
import { keyRetentionMs, maxKeyRecordBytes, maxKeyRecords } from "../../constants";
import { judgeKeyAge, type KeyAge } from "../../decisions/judgeKeyAge";
import { type Outcome } from "../../types";
import { type RecordedAnswer } from "../_lib/answerSink";
import { type Clock } from "../_lib/clock";

/** Result of a keyed request that has ended. */
export interface KeyedResult {
    readonly outcome: Outcome;
    /** Complete answer; undefined if there was none or it was too large to keep. */
    readonly answer: RecordedAnswer | undefined;
}

/** Called with the result of the running request with the same key, once that has ended. */
export type KeyedResultListener = (result: KeyedResult) => void;

/**
 * How to proceed with a keyed request. "wait" and "replay": an identical request is running or has ended; "mismatch":
 * the key belongs to a different request; "full": there is no space for another record.
 */
export type KeyDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "replay"; readonly result: KeyedResult; }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "full"; }
    | { readonly kind: "unacceptable"; readonly keyAge: KeyAge; };

/** Key and content of a request; the keys of different callers are independent. */
export interface KeyedRequest {
    readonly caller: string;
    readonly key: string;
    /** Digest of method, path and body. */
    readonly fingerprint: string;
}

interface RunningRecord {
    readonly kind: "running";
    readonly fingerprint: string;
    readonly listeners: KeyedResultListener[];
}

interface FinishedRecord {
    readonly kind: "finished";
    readonly fingerprint: string;
    readonly result: KeyedResult;
    readonly bytes: number;
    /** Monotonic time when the request ended and its retention time began, in milliseconds. */
    readonly finishedAtMs: number;
}

/** Memory that a finished record is assumed to take in addition to its answer, in bytes. */
const recordOverheadBytes = 512;

const computeRecordKey = (request: KeyedRequest): string => `${request.caller}\n${request.key}`;

const countBytes = (result: KeyedResult): number =>
    recordOverheadBytes
    + (result.answer ? result.answer.body.length + result.answer.head.rawHeaders.join("").length : 0);

/** Keeps the records for `keyRetentionMs`; refuses new keys when it is full rather than evicting records early. */
export class KeyRecords {
    private readonly records = new Map<string, RunningRecord | FinishedRecord>();
    /** Finished records, oldest first. */
    private readonly expiryQueue: { readonly recordKey: string; readonly finishedAtMs: number; }[] = [];
    /** Estimated memory of the finished records. */
    private bytes = 0;
    /** Wall clock time of the start of this node, in milliseconds since 1970. */
    private readonly startedAtMs: number;

    constructor(private readonly clock: Clock) {
        this.startedAtMs = clock.readWallMs();
    }

    /** Number of records of running and finished requests. */
    get size(): number {
        return this.records.size;
    }

    /** Decides how to proceed with a request; also creates its record for "run", and keeps the listener for "wait". */
    begin(request: KeyedRequest, listener: KeyedResultListener): KeyDecision {
        this.expire();
        const record = this.records.get(computeRecordKey(request));
        if (!record) {
            return this.createRecord(request);
        }
        if (record.fingerprint !== request.fingerprint) {
            return { kind: "mismatch" };
        }
        if (record.kind === "finished") {
            return { kind: "replay", result: record.result };
        }
        record.listeners.push(listener);
        return { kind: "wait" };
    }

    /** Records the result of a running request and notifies its listeners; "not-run" removes the record. */
    finish(request: KeyedRequest, result: KeyedResult): void {
        const recordKey = computeRecordKey(request);
        const record = this.records.get(recordKey);
        if (record?.kind !== "running") {
            return;
        }
        if (result.outcome === "not-run") {
            this.records.delete(recordKey);
        }
        else {
            this.recordFinished(recordKey, record.fingerprint, result);
        }
        record.listeners.forEach(listener => listener(result));
    }

    /** Removes finished records whose retention time has passed. */
    expire(): void {
        const retainedSinceMs = this.clock.readMonotonicMs() - keyRetentionMs;
        while (this.expiryQueue.length > 0 && this.expiryQueue[0]!.finishedAtMs < retainedSinceMs) {
            const { recordKey } = this.expiryQueue.shift()!;
            const record = this.records.get(recordKey);
            if (record?.kind === "finished") {
                this.bytes -= record.bytes;
                this.records.delete(recordKey);
            }
        }
    }

    private createRecord(request: KeyedRequest): KeyDecision {
        const keyAge = judgeKeyAge(request.key, {
            startedAtMs: this.startedAtMs,
            nowMs: this.clock.readWallMs(),
            retentionMs: keyRetentionMs,
        });
        if (keyAge !== "fresh") {
            return { kind: "unacceptable", keyAge };
        }
        if (this.records.size >= maxKeyRecords || this.bytes >= maxKeyRecordBytes) {
            return { kind: "full" };
        }
        this.records.set(computeRecordKey(request), {
            kind: "running",
            fingerprint: request.fingerprint,
            listeners: [],
        });
        return { kind: "run" };
    }

    private recordFinished(recordKey: string, fingerprint: string, result: KeyedResult): void {
        const bytes = countBytes(result);
        const finishedAtMs = this.clock.readMonotonicMs();
        this.records.set(recordKey, { kind: "finished", fingerprint, result, bytes, finishedAtMs });
        this.expiryQueue.push({ recordKey, finishedAtMs });
        this.bytes += bytes;
    }
}
