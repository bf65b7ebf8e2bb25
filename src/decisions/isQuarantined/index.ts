/** One crash of an upstream while it served a request. */
export interface Crash {
    readonly endpoint: string;
    readonly atMs: number;
}

/** Recent crashes of upstreams during requests with one fingerprint. */
export interface CrashHistory {
    readonly crashes: readonly Crash[];
}

/** Whether a request is idempotent by its route, or has or lacks an idempotency key. */
export type IdempotencyKind = "idempotent" | "keyed" | "unkeyed";

const crashRetentionMs = 60_000;
/** Crashes at one endpoint within this time count as one. */
const incidentWindowMs = 1_000;
const maxRecordedCrashes = 2;

/**
 * Number of recent crashes at which a request is refused. A keyed request never runs again under the same key anyway;
 * one without a key on a non-idempotent route is refused after the first crash.
 */
const quarantineThresholds: Readonly<Record<IdempotencyKind, number>> = { idempotent: 2, keyed: 2, unkeyed: 1 };

const isSameIncident = (first: Crash, second: Crash): boolean =>
    first.endpoint === second.endpoint && Math.abs(first.atMs - second.atMs) < incidentWindowMs;

/**
 * Adds a crash to a history. A crash that belongs to a recorded incident is not added, since several requests with one
 * fingerprint may have been in flight at once.
 */
export const recordCrash = (history: CrashHistory, crash: Crash): CrashHistory => {
    const recent = history.crashes.filter(earlier => crash.atMs - earlier.atMs < crashRetentionMs);
    return recent.some(earlier => isSameIncident(earlier, crash))
        ? { crashes: recent }
        : { crashes: [...recent, crash].slice(-maxRecordedCrashes) };
};

/** Returns whether requests with the fingerprint of a history are refused. */
export const isQuarantined = (history: CrashHistory, kind: IdempotencyKind, nowMs: number): boolean =>
    history.crashes.filter(crash => nowMs - crash.atMs < crashRetentionMs).length >= quarantineThresholds[kind];
