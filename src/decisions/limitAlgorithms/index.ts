/** Algorithms that adapt the concurrency limit of an upstream to its behaviour. */

/** State of the concurrency limit of one upstream. */
export interface LimitState {
    /** Concurrency limit, in requests; may be fractional. */
    readonly limit: number;
    /** Shortest mean service time of a window so far, in milliseconds; undefined before the first window. */
    readonly baselineMs: number | undefined;
}

/** Statistics of one window. */
export interface LimitWindowStats {
    /** Requests that the upstream itself refused or did not answer. */
    readonly refused: number;
    readonly completed: number;
    /** Largest number of requests in flight at once. */
    readonly peakInFlight: number;
    /** Mean service time of the completed requests, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Bounds of a concurrency limit. */
export interface LimitBounds {
    /** Largest limit. */
    readonly slots: number;
}

/** Algorithm that sets the concurrency limit of an upstream. */
export interface LimitAlgorithm {
    /** Returns the state for an upstream that has just started. */
    start(bounds: LimitBounds): LimitState;
    /** Returns the state after one window. */
    update(state: LimitState, stats: LimitWindowStats, bounds: LimitBounds): LimitState;
}

/** Factor on the limit in a window with refusals. */
const decreaseFactor = 0.8;
/** Increase of the limit in a window, as a share of the slots. */
const increaseShare = 0.1;
/** Limit of an upstream that has just started, as a share of the slots. */
const initialShare = 0.25;
/** Share of the limit that a window must have used to raise it. */
const minUsedShare = 0.5;
/** Service time that does not lower the limit yet, as a multiple of the baseline. */
const toleratedSlowdown = 2;
const minGradient = 0.5;
/** Growth of the baseline in each window, so that it follows an upstream that has become slower for good. */
const baselineDrift = 1.001;

const createInitialState = (bounds: LimitBounds): LimitState => ({
    limit: Math.max(1, bounds.slots * initialShare),
    baselineMs: undefined,
});

/** Returns whether enough of the limit was used in a window for it to be raised. */
const isInUse = (state: LimitState, stats: LimitWindowStats): boolean =>
    stats.completed > 0 && stats.peakInFlight >= state.limit * minUsedShare;

/** Keeps the limit at the number of slots in the policy. */
export class FixedLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return { limit: bounds.slots, baselineMs: undefined };
    }

    update(state: LimitState, stats: LimitWindowStats, bounds: LimitBounds): LimitState {
        return { ...state, limit: bounds.slots };
    }
}

/** Additive increase while the limit is in use, multiplicative decrease (AIMD) on refusals by the upstream. */
export class AimdLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return createInitialState(bounds);
    }

    update(state: LimitState, stats: LimitWindowStats, bounds: LimitBounds): LimitState {
        if (stats.refused > 0) {
            return { ...state, limit: Math.max(1, Math.min(state.limit, stats.peakInFlight) * decreaseFactor) };
        }
        const limit = isInUse(state, stats)
            ? state.limit + Math.max(1, bounds.slots * increaseShare)
            : state.limit;
        return { ...state, limit: Math.min(bounds.slots, limit) };
    }
}

/** Scales the limit with the ratio of the baseline to the current service time, and lowers it on refusals as well. */
export class GradientLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return createInitialState(bounds);
    }

    update(state: LimitState, stats: LimitWindowStats, bounds: LimitBounds): LimitState {
        if (stats.completed === 0) {
            return stats.refused > 0 ? { ...state, limit: Math.max(1, state.limit * decreaseFactor) } : state;
        }
        const baselineMs = Math.min((state.baselineMs ?? Infinity) * baselineDrift, stats.meanServiceMs);
        const slowdown = stats.meanServiceMs / (baselineMs * toleratedSlowdown);
        const gradient = Math.max(minGradient, Math.min(1, 1 / slowdown));
        const refusalFactor = stats.refused > 0 ? decreaseFactor : 1;
        const headroom = stats.refused > 0 || !isInUse(state, stats) ? 0 : Math.sqrt(state.limit);
        const limit = state.limit * gradient * refusalFactor + headroom;
        return { baselineMs, limit: Math.max(1, Math.min(bounds.slots, limit)) };
    }
}
