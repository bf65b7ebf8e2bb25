/** Laws by which the concurrency limit of an upstream follows what it does. */

/** State of the concurrency limit of one upstream. */
export interface LimitState {
    readonly limit: number;
    /** Shortest mean duration of a window so far, in milliseconds; undefined before the first one. */
    readonly baselineMs: number | undefined;
}

/** Readings of one window. */
export interface LimitWindowStats {
    /** Requests that the upstream itself refused, or that got no answer. */
    readonly refused: number;
    readonly completed: number;
    /** Highest number of requests under way. */
    readonly peakInFlight: number;
    /** Mean duration of the completed requests, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Bounds of the limit. */
export interface LimitBounds {
    readonly slots: number;
}

/** How a limit starts and changes. */
export interface LimitAlgorithm {
    /** Creates the limit of an upstream that has just started. */
    start(bounds: LimitBounds): LimitState;
    /** Updates the limit after one window. */
    update(state: LimitState, readings: LimitWindowStats, bounds: LimitBounds): LimitState;
}

const decreaseFactor = 0.8;
const increaseShare = 0.1;
const coldStartShare = 0.25;
const busyShare = 0.5;
const toleratedSlowdown = 2;
const steepestDecrease = 0.5;
const baselineDrift = 1.001;

const startCold = (bounds: LimitBounds): LimitState => ({
    limit: Math.max(1, bounds.slots * coldStartShare),
    baselineMs: undefined,
});

/** Whether a window says anything about room above the limit. */
const isInUse = (state: LimitState, readings: LimitWindowStats): boolean =>
    readings.completed > 0 && readings.peakInFlight >= state.limit * busyShare;

/** Always as many requests as the policy names slots. */
export class FixedLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return { limit: bounds.slots, baselineMs: undefined };
    }

    update(state: LimitState, readings: LimitWindowStats, bounds: LimitBounds): LimitState {
        return { ...state, limit: bounds.slots };
    }
}

/** Additive increase while the limit is in use, multiplicative decrease when the upstream refuses. */
export class AimdLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return startCold(bounds);
    }

    update(state: LimitState, readings: LimitWindowStats, bounds: LimitBounds): LimitState {
        if (readings.refused > 0) {
            return { ...state, limit: Math.max(1, Math.min(state.limit, readings.peakInFlight) * decreaseFactor) };
        }
        const limit = isInUse(state, readings)
            ? state.limit + Math.max(1, bounds.slots * increaseShare)
            : state.limit;
        return { ...state, limit: Math.min(bounds.slots, limit) };
    }
}

/** Follows the ratio of the shortest to the present duration, and gives way on refusals as well. */
export class GradientLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return startCold(bounds);
    }

    update(state: LimitState, readings: LimitWindowStats, bounds: LimitBounds): LimitState {
        if (readings.completed === 0) {
            return readings.refused > 0 ? { ...state, limit: Math.max(1, state.limit * decreaseFactor) } : state;
        }
        const baselineMs = Math.min((state.baselineMs ?? Infinity) * baselineDrift, readings.meanServiceMs);
        const slowdown = readings.meanServiceMs / (baselineMs * toleratedSlowdown);
        const gradient = Math.max(steepestDecrease, Math.min(1, 1 / slowdown));
        const refusalFactor = readings.refused > 0 ? decreaseFactor : 1;
        const headroom = readings.refused > 0 || !isInUse(state, readings) ? 0 : Math.sqrt(state.limit);
        const limit = state.limit * gradient * refusalFactor + headroom;
        return { baselineMs, limit: Math.max(1, Math.min(bounds.slots, limit)) };
    }
}
