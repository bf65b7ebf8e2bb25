/** Records of non-idempotent requests by idempotency key, kept at the home of the key. */
import { keyRetentionMs, maxKeyRecordBytes, maxKeyRecords } from "../../constants";
import { judgeKeyAge, type KeyAge } from "../../decisions/judgeKeyAge";
import { type Outcome } from "../../types";
import { type RecordedAnswer } from "../_lib/answerSink";
import { type Clock } from "../_lib/clock";

/** How the run of a keyed request ended. */
export interface KeyedEnd {
    readonly outcome: Outcome;
    /** The whole answer, or undefined when there was none or it was too large to keep. */
    readonly answer: RecordedAnswer | undefined;
}

/** Told how the run that it waits for ended. */
export type EndListener = (end: KeyedEnd) => void;

/** What a request with a key may do. */
export type KeyDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "replay"; readonly end: KeyedEnd; }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "full"; }
    | { readonly kind: "unacceptable"; readonly age: KeyAge; };

/** A keyed request as the home sees it. */
export interface KeyedRequest {
    readonly caller: string;
    readonly key: string;
    /** Digest of method, path and body. */
    readonly fingerprint: string;
}

interface RunningRecord {
    readonly kind: "running";
    readonly fingerprint: string;
    readonly listeners: EndListener[];
}

interface EndedRecord {
    readonly kind: "ended";
    readonly fingerprint: string;
    readonly end: KeyedEnd;
    readonly bytes: number;
    readonly endedAtMs: number;
}

const recordOverheadBytes = 512;

const computeScope = (request: KeyedRequest): string => `${request.caller}\n${request.key}`;

const countBytes = (end: KeyedEnd): number =>
    recordOverheadBytes + (end.answer ? end.answer.body.length + end.answer.head.rawHeaders.join("").length : 0);

/** Owns the records; a full table refuses new keys and forgets none early. */
export class KeyRecords {
    private readonly records = new Map<string, RunningRecord | EndedRecord>();
    private readonly endedInOrder: { readonly scope: string; readonly endedAtMs: number; }[] = [];
    private bytes = 0;
    private readonly startedAt: number;

    constructor(private readonly clock: Clock) {
        this.startedAt = clock.readWallMs();
    }

    /** Number of records. */
    get size(): number {
        return this.records.size;
    }

    /** Decides what a request may do; with "run" its record is made, with "wait" the listener is kept. */
    begin(request: KeyedRequest, listener: EndListener): KeyDecision {
        this.expire();
        const record = this.records.get(computeScope(request));
        if (!record) {
            return this.createRecord(request);
        }
        if (record.fingerprint !== request.fingerprint) {
            return { kind: "mismatch" };
        }
        if (record.kind === "ended") {
            return { kind: "replay", end: record.end };
        }
        record.listeners.push(listener);
        return { kind: "wait" };
    }

    /** Settles the run of a request and tells those who wait for it. */
    settle(request: KeyedRequest, end: KeyedEnd): void {
        const scope = computeScope(request);
        const record = this.records.get(scope);
        if (record?.kind !== "running") {
            return;
        }
        if (end.outcome === "not-run") {
            this.records.delete(scope);
        }
        else {
            this.recordEnded(scope, record.fingerprint, end);
        }
        record.listeners.forEach(listener => listener(end));
    }

    /** Removes records whose retention is over. */
    expire(): void {
        const horizonMs = this.clock.readMonotonicMs() - keyRetentionMs;
        while (this.endedInOrder.length > 0 && this.endedInOrder[0]!.endedAtMs < horizonMs) {
            const { scope } = this.endedInOrder.shift()!;
            const record = this.records.get(scope);
            if (record?.kind === "ended") {
                this.bytes -= record.bytes;
                this.records.delete(scope);
            }
        }
    }

    private createRecord(request: KeyedRequest): KeyDecision {
        const age = judgeKeyAge(request.key, {
            startedAtMs: this.startedAt,
            nowMs: this.clock.readWallMs(),
            retentionMs: keyRetentionMs,
        });
        if (age !== "fresh") {
            return { kind: "unacceptable", age };
        }
        if (this.records.size >= maxKeyRecords || this.bytes >= maxKeyRecordBytes) {
            return { kind: "full" };
        }
        this.records.set(computeScope(request), { kind: "running", fingerprint: request.fingerprint, listeners: [] });
        return { kind: "run" };
    }

    private recordEnded(scope: string, fingerprint: string, end: KeyedEnd): void {
        const bytes = countBytes(end);
        const endedAtMs = this.clock.readMonotonicMs();
        this.records.set(scope, { kind: "ended", fingerprint, end, bytes, endedAtMs });
        this.endedInOrder.push({ scope, endedAtMs });
        this.bytes += bytes;
    }
}
