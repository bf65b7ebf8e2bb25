/** Records of non-idempotent requests by idempotency key, kept at the key's home. */
import { keyRetentionMs, maxKeyRecordBytes, maxKeyRecords } from "../../constants";
import { judgeKeyAge, type KeyAge } from "../../decisions/judgeKeyAge";
import { type Outcome } from "../../types";
import { type RecordedAnswer } from "../_lib/answerSink";
import { type Clock } from "../_lib/clock";

/** Result of a keyed request. */
export interface KeyedResult {
    readonly outcome: Outcome;
    /** The complete answer, or undefined if there was none or it was too large to keep. */
    readonly answer: RecordedAnswer | undefined;
}

/** Called with the result of the running request that has the same key. */
export type KeyedResultListener = (result: KeyedResult) => void;

/** How to proceed with a keyed request. */
export type KeyDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "replay"; readonly result: KeyedResult; }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "full"; }
    | { readonly kind: "unacceptable"; readonly age: KeyAge; };

/** Identification of a keyed request. */
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
    /** Monotonic time, in milliseconds. */
    readonly finishedAtMs: number;
}

/** Memory that a record takes besides its answer, in bytes. */
const recordOverheadBytes = 512;

const computeRecordKey = (request: KeyedRequest): string => `${request.caller}\n${request.key}`;

const countBytes = (result: KeyedResult): number =>
    recordOverheadBytes
    + (result.answer ? result.answer.body.length + result.answer.head.rawHeaders.join("").length : 0);

/** Owns the records; a full table refuses new keys instead of evicting records early. */
export class KeyRecords {
    private readonly records = new Map<string, RunningRecord | FinishedRecord>();
    private readonly finishedInOrder: { readonly recordKey: string; readonly finishedAtMs: number; }[] = [];
    private bytes = 0;
    /** Wall clock time, in milliseconds since 1970. */
    private readonly startedAtMs: number;

    constructor(private readonly clock: Clock) {
        this.startedAtMs = clock.readWallMs();
    }

    /** Number of records. */
    get size(): number {
        return this.records.size;
    }

    /** Decides how to proceed with a request: "run" creates its record, "wait" registers the listener. */
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

    /** Records the result of a running request and notifies its listeners; "not-run" removes the record instead. */
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

    /** Removes the records whose retention time has passed. */
    expire(): void {
        const oldestKeptMs = this.clock.readMonotonicMs() - keyRetentionMs;
        while (this.finishedInOrder.length > 0 && this.finishedInOrder[0]!.finishedAtMs < oldestKeptMs) {
            const { recordKey } = this.finishedInOrder.shift()!;
            const record = this.records.get(recordKey);
            if (record?.kind === "finished") {
                this.bytes -= record.bytes;
                this.records.delete(recordKey);
            }
        }
    }

    private createRecord(request: KeyedRequest): KeyDecision {
        const age = judgeKeyAge(request.key, {
            startedAtMs: this.startedAtMs,
            nowMs: this.clock.readWallMs(),
            retentionMs: keyRetentionMs,
        });
        if (age !== "fresh") {
            return { kind: "unacceptable", age };
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
        this.finishedInOrder.push({ recordKey, finishedAtMs });
        this.bytes += bytes;
    }
}
