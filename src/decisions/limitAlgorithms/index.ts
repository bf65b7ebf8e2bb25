/** Algorithms that adapt the concurrency limit of an upstream to its behaviour. */

/** State of the concurrency limit of one upstream. */
export interface LimitState {
    /** Concurrency limit, in requests; may be fractional. */
    readonly limit: number;
    /**
     * Baseline of the mean service time for `GradientLimit`, in milliseconds: the lowest mean of a window, multiplied
     * by `baselineDrift` in each window with completed requests. It is undefined until a request has completed.
     */
    readonly baselineMs: number | undefined;
}

/** Statistics of an upstream's requests in one window. */
export interface LimitWindowStats {
    /** Number of requests that the upstream itself refused or did not answer. */
    readonly refused: number;
    /** Number of completed requests. */
    readonly completed: number;
    /** Highest number of requests in flight at any time in the window. */
    readonly peakInFlight: number;
    /** Mean service time of the completed requests, in milliseconds. */
    readonly meanServiceMs: number;
}

/** Properties of an upstream that bound its concurrency limit. */
export interface LimitBounds {
    /** Number of requests that the upstream can serve at once; the highest possible limit. */
    readonly slots: number;
}

/** Algorithm that computes the concurrency limit of an upstream, once a window. */
export interface LimitAlgorithm {
    /** Returns the state for an upstream that has just started. */
    start(bounds: LimitBounds): LimitState;
    /** Returns the state after one window. */
    update(state: LimitState, stats: LimitWindowStats, bounds: LimitBounds): LimitState;
}

/** Factor by which the limit is multiplied after a window with refusals. */
const decreaseFactor = 0.8;
/** Additive increase of the limit after a window, as a share of the slots; the increase is at least 1. */
const increaseShare = 0.1;
/** Limit of an upstream that has just started, as a share of the slots. */
const initialShare = 0.25;
/** The limit is raised only if at least this share of it was in use at some time in the window. */
const minUsedShare = 0.5;
/** Highest mean service time that does not lower the limit, as a multiple of the baseline. */
const toleratedSlowdown = 2;
/** Smallest factor by which a slow window may lower the limit. */
const minGradient = 0.5;
/** Growth factor of the baseline in each window, so that it adapts to an upstream that has become slower for good. */
const baselineDrift = 1.001;

const createInitialState = (bounds: LimitBounds): LimitState => ({
    limit: Math.max(1, bounds.slots * initialShare),
    baselineMs: undefined,
});

/** Returns whether enough of the limit was in use in a window that it may be raised. */
const canRaiseLimit = (state: LimitState, stats: LimitWindowStats): boolean =>
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

/** AIMD: additive increase while the limit is in use, multiplicative decrease when the upstream refuses requests. */
export class AimdLimit implements LimitAlgorithm {
    start(bounds: LimitBounds): LimitState {
        return createInitialState(bounds);
    }

    update(state: LimitState, stats: LimitWindowStats, bounds: LimitBounds): LimitState {
        if (stats.refused > 0) {
            return { ...state, limit: Math.max(1, Math.min(state.limit, stats.peakInFlight) * decreaseFactor) };
        }
        const limit = canRaiseLimit(state, stats)
            ? state.limit + Math.max(1, bounds.slots * increaseShare)
            : state.limit;
        return { ...state, limit: Math.min(bounds.slots, limit) };
    }
}

/**
 * Raises the limit while it is in use, and lowers it if the upstream refuses requests or if the mean service time is
 * more than `toleratedSlowdown` times the baseline.
 */
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
        const headroom = stats.refused > 0 || !canRaiseLimit(state, stats) ? 0 : Math.sqrt(state.limit);
        const limit = state.limit * gradient * refusalFactor + headroom;
        return { baselineMs, limit: Math.max(1, Math.min(bounds.slots, limit)) };
    }
}
