/** Named constants; each name of a quantity ends in its unit. */

export const msPerSecond = 1_000;
/** Statuses from here on say that the upstream has failed. */
export const firstServerErrorStatus = 500;

export const defaultDeadlineMs = 5_000;
export const maxDeadlineMs = 600_000;
export const minForwardMs = 2;

export const maxReplayBodyBytes = 64 * 1024;
export const maxKeyedBodyBytes = 1024 * 1024;
export const maxHeaderBytes = 16 * 1024;
export const defaultMaxRequestBodyBytes = 256 * 1024 * 1024;
export const maxPolicyLogBytes = 1024 * 1024;

export const timerTickMs = 10;
/** Each wake-up costs a relay processor time; the shortest timeouts that matter there are some hundred milliseconds. */
export const relayTimerTickMs = 20;
export const limitWindowMs = 100;
export const shedWindowMs = 100;
export const maxShedRetryAfterSeconds = 10;
export const pauseThresholdMs = 1_000;
export const heartbeatIntervalMs = 250;

export const closeGraceMs = 500;
export const listenerKeepAliveMs = 60_000;
export const poolKeepAliveMs = 4_000;
export const maxConnectionsPerOrigin = 64;

export const platformLongPollMs = 25_000;
export const platformRequestTimeoutMs = 30_000;
export const platformRetryMinMs = 200;
export const platformRetryMaxMs = 5_000;

export const keyClockMarginMs = 2_000;
export const maxKeyRecords = 40_000;
export const maxKeyRecordBytes = 24 * 1024 * 1024;
export const keyRetentionMs = 120_000;

export const actionFreshnessMs = 250;

export const maxCrashHistories = 2_000;
export const quarantineRetryAfterSeconds = 60;
export const noticeTimeoutMs = 2_000;
export const maxNoticesInFlight = 64;
export const maxNoticesPending = 4_096;
export const policySyncIntervalMs = 3_000;
export const callerRetentionMs = 60_000;

export const maxAuditEvents = 2_000;

export const refusalRetryAfterSeconds = 1;
export const drainRetryAfterSeconds = 1;
export const defaultDrainLimitMs = 30_000;
