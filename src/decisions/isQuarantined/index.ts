/** One death of an upstream during a request. */
export interface Crash {
    readonly endpoint: string;
    readonly atMs: number;
}

/** What is known of requests with one fingerprint during which upstreams died. */
export interface CrashHistory {
    readonly crashes: readonly Crash[];
}

/** How often a request may be run, as far as its route says. */
export type IdempotencyKind = "idempotent" | "keyed" | "unkeyed";

const crashMemoryMs = 60_000;
const incidentMs = 1_000;
const maxCrashes = 2;

/**
 * Deaths after which a request is refused. A keyed one is not run again under the same key in any case;
 * one without a key, on a route that is not idempotent, gets no second chance.
 */
const toleratedCrashes: Readonly<Record<IdempotencyKind, number>> = { idempotent: 2, keyed: 2, unkeyed: 1 };

const isSameIncident = (first: Crash, second: Crash): boolean =>
    first.endpoint === second.endpoint && Math.abs(first.atMs - second.atMs) < incidentMs;

/** Records one more death. Requests with one fingerprint that were under way together saw the same incident. */
export const recordCrash = (record: CrashHistory, crash: Crash): CrashHistory => {
    const counted = record.crashes.filter(earlier => crash.atMs - earlier.atMs < crashMemoryMs);
    return counted.some(earlier => isSameIncident(earlier, crash))
        ? { crashes: counted }
        : { crashes: [...counted, crash].slice(-maxCrashes) };
};

/** Whether requests with a fingerprint are refused. */
export const isQuarantined = (record: CrashHistory, kind: IdempotencyKind, nowMs: number): boolean =>
    record.crashes.filter(crash => nowMs - crash.atMs < crashMemoryMs).length >= toleratedCrashes[kind];
