import { type Importance } from "../../types";

/** Admission probability of a route, and the number of windows that determines its growth. */
export interface AdmissionState {
    /** Admission probability of new actions, 0 to 1. */
    readonly probability: number;
    /** Number of windows since the last one with more refusals than tolerated. */
    readonly uncongestedWindows: number;
}

/** Answers to the admitted actions of one route in a window. */
export interface AnswerCounts {
    /** Number of actions that the upstream answered. */
    readonly answered: number;
    /** Number of answered actions that failed because a nested call was refused for lack of capacity. */
    readonly nestedRefusals: number;
}

/** State of a route before its first window. */
export const initialAdmission: AdmissionState = { probability: 1, uncongestedWindows: 0 };

/**
 * Tolerated share of answers with a refused nested call. It is higher for critical actions: while the bottleneck still
 * refuses some of them, it has no free slot for less important ones.
 */
const toleratedRefusedShare: Readonly<Record<Importance, number>> = { critical: 0.3, normal: 0.1, low: 0.1 };
/** Relative increase of the probability in the first uncongested window. The increase doubles in each further one. */
const minIncrease = 0.05;
/** Maximum relative increase of the probability in one window. */
const maxIncrease = 1;
/** Absolute increase of the probability in each uncongested window, in addition to the relative one. */
const increaseStep = 0.01;
/** Minimum probability; some actions are always admitted, since their answers show free capacity. */
const minProbability = 0.02;

/**
 * Computes the new admission probability of a route's actions from the refusals of nested calls in a window. The share
 * of actions that failed by such refusals is shed at the entry in the next window, before any work is done for it. Some
 * refusals are tolerated, so that the bottleneck stays fully used. If there are no more than these, the probability
 * grows, faster with every such window, so that the route recovers quickly.
 */
export const updateAdmissionByRefusals = (
    state: AdmissionState,
    counts: AnswerCounts,
    importance: Importance,
): AdmissionState => {
    const tolerated = toleratedRefusedShare[importance];
    const refusedShare = counts.answered === 0 ? 0 : counts.nestedRefusals / counts.answered;
    if (refusedShare > tolerated) {
        const probability = state.probability * (1 - refusedShare + tolerated);
        return { probability: Math.max(minProbability, probability), uncongestedWindows: 0 };
    }
    const increase = Math.min(maxIncrease, minIncrease * 2 ** state.uncongestedWindows);
    const probability = Math.min(1, state.probability * (1 + increase) + increaseStep);
    return { probability, uncongestedWindows: state.uncongestedWindows + 1 };
};

/** Number of hexadecimal digits at the end of an action's id that determine its sampling value. */
const samplingHexDigits = 8;

/**
 * Computes the sampling value of an action, in [0, 1). An action is admitted if its sampling value is below the
 * admission probability. The value depends only on the action's id, so that all nodes admit the same actions.
 */
export const computeSamplingValue = (action: string): number =>
    Number.parseInt(action.slice(-samplingHexDigits), 16) / 2 ** (4 * samplingHexDigits);
