/** One crash of an upstream while it served a request. */
export interface Crash {
    readonly endpoint: string;
    readonly atMs: number;
}

/** Recent crashes of upstreams while they served requests with one fingerprint, oldest first. */
export interface CrashHistory {
    readonly crashes: readonly Crash[];
    /** Number of times that the request has crashed an upstream again after its quarantine had ended; 0 if undefined. */
    readonly relapses?: number;
}

/**
 * Kind of a request by its idempotency. "idempotent": its route is idempotent; "keyed": its route is not, but the
 * request has an idempotency key; "unkeyed": neither.
 */
export type IdempotencyKind = "idempotent" | "keyed" | "unkeyed";

/** Time for which a crash counts; it doubles with each relapse. */
const crashRetentionMs = 60_000;
/** Maximum number of times that the retention doubles. */
const maxDoublings = 6;
/** Crashes at one endpoint within this time count as one. */
const incidentWindowMs = 1_000;
/** Maximum number of crashes in a history; no threshold is higher. */
const maxRecordedCrashes = 2;

/**
 * Minimum number of recent crashes at which a request is refused. The threshold of keyed requests can be higher than 1,
 * since they never run again under the same key anyway; an unkeyed request on a non-idempotent route is refused after
 * the first crash.
 */
const quarantineThresholds: Readonly<Record<IdempotencyKind, number>> = { idempotent: 2, keyed: 2, unkeyed: 1 };

const computeRetentionMs = ({ relapses = 0 }: CrashHistory): number =>
    crashRetentionMs * 2 ** Math.min(relapses, maxDoublings);

const isSameIncident = (first: Crash, second: Crash): boolean =>
    first.endpoint === second.endpoint && Math.abs(first.atMs - second.atMs) < incidentWindowMs;

/** Whether a quarantine has ended, given the crashes that still count. */
const hasQuarantineEnded = ({ crashes, relapses = 0 }: CrashHistory, recent: readonly Crash[]): boolean =>
    relapses > 0 ? recent.length === 0 : crashes.length >= maxRecordedCrashes && recent.length < maxRecordedCrashes;

/**
 * Returns a history with one more crash and without expired ones. A crash of an incident that is already recorded is
 * not added, since several requests with one fingerprint may have been in flight at once. A request that crashes an
 * upstream after its quarantine has ended is quarantined at once, and for twice as long.
 */
export const recordCrash = (history: CrashHistory, crash: Crash): CrashHistory => {
    const { relapses = 0 } = history;
    const retentionMs = computeRetentionMs(history);
    const recent = history.crashes.filter(earlier => crash.atMs - earlier.atMs < retentionMs);
    if (hasQuarantineEnded(history, recent)) {
        return { crashes: [crash], relapses: relapses + 1 };
    }
    return recent.some(earlier => isSameIncident(earlier, crash))
        ? { crashes: recent, relapses }
        : { crashes: [...recent, crash].slice(-maxRecordedCrashes), relapses };
};

/** Returns whether requests of a kind are refused, given the crash history of their fingerprint. */
export const isQuarantined = (history: CrashHistory, kind: IdempotencyKind, nowMs: number): boolean => {
    const { crashes, relapses = 0 } = history;
    const retentionMs = computeRetentionMs(history);
    const threshold = relapses > 0 ? 1 : quarantineThresholds[kind];
    return crashes.filter(crash => nowMs - crash.atMs < retentionMs).length >= threshold;
};
