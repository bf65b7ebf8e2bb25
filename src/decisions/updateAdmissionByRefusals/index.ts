import { type Importance } from "../../types";

/** Admission probability of a route and what its growth depends on. */
export interface AdmissionState {
    /** Admission probability of new actions, 0 to 1. */
    readonly probability: number;
    /** Consecutive windows without more refusals than are tolerated. */
    readonly uncongestedWindows: number;
}

/** Answers to the admitted actions of one route in a window. */
export interface AnswerCounts {
    /** Actions that an upstream answered. */
    readonly answered: number;
    /** Those of them that failed because a nested call was refused for lack of capacity. */
    readonly nestedRefusals: number;
}

/** State of a route before its first window. */
export const initialAdmission: AdmissionState = { probability: 1, uncongestedWindows: 0 };

/**
 * Tolerated share of answers with a refused nested call. It is higher for critical requests: while the bottleneck still
 * refuses some of them, it has no slot free for less important ones.
 */
const toleratedRefusedShare: Readonly<Record<Importance, number>> = { critical: 0.3, normal: 0.1, low: 0.1 };
/** Relative increase in the first uncongested window; it doubles with each further one. */
const minIncrease = 0.05;
const maxIncrease = 1;
/** Absolute increase in each uncongested window. */
const increaseStep = 0.01;
/** Some actions are always admitted, so that free capacity is noticed. */
const minProbability = 0.02;

/**
 * Updates the admission probability of a route's new actions from the refusals of nested calls, once a window. The
 * share of actions whose nested calls were refused in a window is shed at the entry in the next one, before any work is
 * done for it. Some refusals are tolerated, so that the bottleneck stays fully used. Without more refusals than that,
 * the probability grows, faster with every uncongested window, so that the route recovers quickly.
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

const samplingHexDigits = 8;

/**
 * Computes the value in [0, 1) that is compared with the admission probability of an action. It depends only on the
 * action's id, so that all nodes admit the same actions.
 */
export const computeSamplingValue = (action: string): number =>
    Number.parseInt(action.slice(-samplingHexDigits), 16) / 2 ** (4 * samplingHexDigits);
