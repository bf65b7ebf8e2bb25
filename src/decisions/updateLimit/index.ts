/** State of the concurrency limit of one upstream. */
export interface LimitState {
    readonly limit: number;
}

/** Readings of one window. */
export interface LimitReadings {
    /** Requests that the upstream itself refused, or that got no answer. */
    readonly refused: number;
    readonly completed: number;
    /** Highest number of requests under way. */
    readonly peakInFlight: number;
}

/** Bounds of the limit. */
export interface LimitBounds {
    readonly slots: number;
}

const decreaseFactor = 0.8;
const increaseShare = 0.1;
const coldStartShare = 0.25;
const busyShare = 0.5;

/** Creates the limit of an upstream that has just started. */
export const createLimit = (bounds: LimitBounds): LimitState => ({
    limit: Math.max(1, bounds.slots * coldStartShare),
});

/**
 * Updates the limit after one window: additive increase while the limit is in use,
 * multiplicative decrease when the upstream refuses.
 */
export const updateLimit = (state: LimitState, readings: LimitReadings, bounds: LimitBounds): LimitState => {
    if (readings.refused > 0) {
        return { limit: Math.max(1, Math.min(state.limit, readings.peakInFlight) * decreaseFactor) };
    }
    if (readings.completed === 0 || readings.peakInFlight < state.limit * busyShare) {
        return state.limit <= bounds.slots ? state : { limit: bounds.slots };
    }
    return { limit: Math.min(bounds.slots, state.limit + Math.max(1, bounds.slots * increaseShare)) };
};
