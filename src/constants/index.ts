/** Limits, intervals and defaults; the name of a quantity ends in its unit. */

export const msPerSecond = 1_000;
/** Lowest HTTP status that counts as a failure of the upstream. */
export const firstServerErrorStatus = 500;

export const defaultDeadlineMs = 5_000;
export const maxDeadlineMs = 600_000;
/** Minimum time until the deadline for a request to be sent to an upstream or retried. */
export const minForwardMs = 2;

/**
 * Largest body that is buffered so that it can be sent again. A request without a key is not retried if its body is
 * larger or of unknown length; an answer to a keyed request is not recorded if its body is larger.
 */
export const maxReplayBodyBytes = 64 * 1024;
export const maxKeyedBodyBytes = 1024 * 1024;
export const maxHeaderBytes = 16 * 1024;
export const defaultMaxRequestBodyBytes = 256 * 1024 * 1024;
export const maxPolicyLogBytes = 1024 * 1024;

export const timerTickMs = 10;
/**
 * Timer tick of a relay. It is longer than `timerTickMs`, since each tick costs processor time and the shortest
 * relevant timeouts of a relay are a few hundred milliseconds.
 */
export const relayTimerTickMs = 20;
export const limitWindowMs = 100;
export const shedWindowMs = 100;
export const maxShedRetryAfterSeconds = 10;
export const pauseThresholdMs = 1_000;
export const heartbeatIntervalMs = 250;

/** Time from the closing of a listener until its remaining connections are closed too. */
export const closeGraceMs = 500;
export const listenerKeepAliveMs = 60_000;
export const poolKeepAliveMs = 4_000;
export const maxConnectionsPerOrigin = 64;

export const platformLongPollMs = 25_000;
export const platformRequestTimeoutMs = 30_000;
export const platformRetryMinMs = 200;
export const platformRetryMaxMs = 5_000;

/** Time by which a caller's clock may be ahead of the clock of a key's home. */
export const keyClockMarginMs = 2_000;
export const maxKeyRecords = 40_000;
export const maxKeyRecordBytes = 24 * 1024 * 1024;
export const keyRetentionMs = 120_000;

/**
 * Maximum difference between the timestamp of an action's id and the clock of the entry node. An action outside this
 * range gets no retries, so that nodes do not retry a request that is itself a retry by the caller.
 */
export const actionFreshnessMs = 250;

export const maxCrashHistories = 2_000;
export const quarantineRetryAfterSeconds = 60;
export const noticeTimeoutMs = 2_000;
export const maxNoticesInFlight = 64;
export const maxNoticesPending = 4_096;
export const policySyncIntervalMs = 3_000;
/** Time after its last call for which a node counts as a recent caller. */
export const callerRetentionMs = 60_000;

export const maxAuditEvents = 2_000;

export const refusalRetryAfterSeconds = 1;
export const drainRetryAfterSeconds = 1;
export const defaultDrainLimitMs = 30_000;
