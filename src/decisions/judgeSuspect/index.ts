/** One death of an upstream during a request. */
export interface Death {
    readonly endpoint: string;
    readonly atMs: number;
}

/** What is known of requests with one fingerprint during which upstreams died. */
export interface SuspectRecord {
    readonly deaths: readonly Death[];
}

/** How often a request may be run, as far as its route says. */
export type SuspectKind = "idempotent" | "keyed" | "unkeyed";

const deathMemoryMs = 60_000;
const incidentMs = 1_000;
const maxDeaths = 2;

/**
 * Deaths after which a request is refused. A keyed one is not run again under the same key in any case;
 * one without a key, on a route that is not idempotent, gets no second chance.
 */
const toleratedDeaths: Readonly<Record<SuspectKind, number>> = { idempotent: 2, keyed: 2, unkeyed: 1 };

const isSameIncident = (first: Death, second: Death): boolean =>
    first.endpoint === second.endpoint && Math.abs(first.atMs - second.atMs) < incidentMs;

/** Records one more death. Requests with one fingerprint that were under way together saw the same incident. */
export const recordDeath = (record: SuspectRecord, death: Death): SuspectRecord => {
    const counted = record.deaths.filter(earlier => death.atMs - earlier.atMs < deathMemoryMs);
    return counted.some(earlier => isSameIncident(earlier, death))
        ? { deaths: counted }
        : { deaths: [...counted, death].slice(-maxDeaths) };
};

/** Whether requests with a fingerprint are refused. */
export const isQuarantined = (record: SuspectRecord, kind: SuspectKind, nowMs: number): boolean =>
    record.deaths.filter(death => nowMs - death.atMs < deathMemoryMs).length >= toleratedDeaths[kind];
