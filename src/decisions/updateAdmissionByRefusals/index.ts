import { type Importance } from "../../types";

/** Share of a route's new actions that is let in, and how it has been going. */
export interface AdmissionState {
    readonly share: number;
    /** Windows in a row without noticeable refusals. */
    readonly uncongestedWindows: number;
}

/** What became of the actions of one route that were let in during a window. */
export interface AnswerCounts {
    /** Actions that got an answer of an upstream. */
    readonly answered: number;
    /** Those among them that failed because a call below was refused for lack of room. */
    readonly nestedCallRefused: number;
}

/** The share of a route that meets no refusals. */
export const initialAdmission: AdmissionState = { share: 1, uncongestedWindows: 0 };

/**
 * Refusals below that are tolerated. More for critical requests: while some of them are still refused at the bottleneck,
 * no slot there stays free for less important ones.
 */
const tolerableRefusedShare: Readonly<Record<Importance, number>> = { critical: 0.3, normal: 0.1, low: 0.1 };
const smallestIncrease = 0.05;
const largestIncrease = 1;
const increaseStep = 0.01;
const smallestShare = 0.02;

/**
 * Updates the share of a route's new actions that is let in.
 * What was refused below in a window is refused at the entry in the next one, before any work is done for it.
 * Some refusals are tolerated, so that the bottleneck never runs dry.
 * Without refusals the share grows, faster with every calm window, so that the route is soon back to normal.
 */
export const updateAdmissionByRefusals = (
    state: AdmissionState,
    readings: AnswerCounts,
    importance: Importance,
): AdmissionState => {
    const tolerable = tolerableRefusedShare[importance];
    const refusedShare = readings.answered === 0 ? 0 : readings.nestedCallRefused / readings.answered;
    if (refusedShare > tolerable) {
        const share = state.share * (1 - refusedShare + tolerable);
        return { share: Math.max(smallestShare, share), uncongestedWindows: 0 };
    }
    const increase = Math.min(largestIncrease, smallestIncrease * 2 ** state.uncongestedWindows);
    const share = Math.min(1, state.share * (1 + increase) + increaseStep);
    return { share, uncongestedWindows: state.uncongestedWindows + 1 };
};

const rankHexDigits = 8;

/** Computes an action's place between 0 and 1; every node computes the same, and so lets the same actions in. */
export const computeSamplingValue = (action: string): number =>
    Number.parseInt(action.slice(-rankHexDigits), 16) / 2 ** (4 * rankHexDigits);
