/** Limits, intervals and defaults; the name of a quantity ends in its unit. */

export const msPerSecond = 1_000;
/** Lowest status that counts as a failure of the upstream. */
export const firstServerErrorStatus = 500;

export const defaultDeadlineMs = 5_000;
export const maxDeadlineMs = 600_000;
/** A request with less time than this until its deadline is not forwarded. */
export const minForwardMs = 2;

/** Larger bodies are streamed: requests without a key are then not retried, answers to keyed ones not recorded. */
export const maxReplayBodyBytes = 64 * 1024;
export const maxKeyedBodyBytes = 1024 * 1024;
export const maxHeaderBytes = 16 * 1024;
export const defaultMaxRequestBodyBytes = 256 * 1024 * 1024;
export const maxPolicyLogBytes = 1024 * 1024;

export const timerTickMs = 10;
/** Each tick costs a relay processor time; its shortest timeouts that matter are some hundred milliseconds. */
export const relayTimerTickMs = 20;
export const limitWindowMs = 100;
export const shedWindowMs = 100;
export const maxShedRetryAfterSeconds = 10;
export const pauseThresholdMs = 1_000;
export const heartbeatIntervalMs = 250;

/** Time after which closing a listener closes the connections that are still open. */
export const closeGraceMs = 500;
export const listenerKeepAliveMs = 60_000;
export const poolKeepAliveMs = 4_000;
export const maxConnectionsPerOrigin = 64;

export const platformLongPollMs = 25_000;
export const platformRequestTimeoutMs = 30_000;
export const platformRetryMinMs = 200;
export const platformRetryMaxMs = 5_000;

/** Margin for a caller's clock that is ahead of the clock of a key's home. */
export const keyClockMarginMs = 2_000;
export const maxKeyRecords = 40_000;
export const maxKeyRecordBytes = 24 * 1024 * 1024;
export const keyRetentionMs = 120_000;

/** Only an action id created within this time gets retries, so that a retry by the caller itself gains none. */
export const actionFreshnessMs = 250;

export const maxCrashHistories = 2_000;
export const quarantineRetryAfterSeconds = 60;
export const noticeTimeoutMs = 2_000;
export const maxNoticesInFlight = 64;
export const maxNoticesPending = 4_096;
export const policySyncIntervalMs = 3_000;
/** Time for which a node counts as a recent caller after its last call. */
export const callerRetentionMs = 60_000;

export const maxAuditEvents = 2_000;

export const refusalRetryAfterSeconds = 1;
export const drainRetryAfterSeconds = 1;
export const defaultDrainLimitMs = 30_000;
