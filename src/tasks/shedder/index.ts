/** Load shedding at the entry: refuses a share of new actions while nested calls are refused for lack of capacity. */
import { shedWindowMs } from "../../constants";
import {
    type AdmissionState,
    computeSamplingValue,
    initialAdmission,
    updateAdmissionByRefusals,
} from "../../decisions/updateAdmissionByRefusals";
import { type Importance } from "../../types";

/** Admission state of a route, and the answers in its current window. */
interface RouteState extends AdmissionState {
    readonly answered: number;
    /** Answers to requests that failed because a nested call was refused. */
    readonly nestedRefusals: number;
    readonly windowStartMs: number;
}

/** Route with its current admission probability. */
export interface RouteAdmission {
    readonly route: string;
    /** Admission probability of new actions, 0 to 1. */
    readonly share: number;
}

/** Adapts the admission probability of each route of the local service to the refusals of nested calls. */
export class Shedder {
    private readonly routes = new Map<string, RouteState>();

    constructor(private readonly readMonotonicMs: () => number) {}

    /** Whether a route admits a new action; decided by the action's identifier, so that all nodes agree. */
    canAdmit(route: string, importance: Importance, action: string): boolean {
        const { probability } = this.updateWindow(route, importance);
        return probability >= 1 || computeSamplingValue(action) < probability;
    }

    /** Returns the admission probability of new actions of a route, 0 to 1; it is 1 before the route's first answer. */
    readAdmissionProbability(route: string): number {
        return this.routes.get(route)?.probability ?? 1;
    }

    /** Lists the routes whose admission probability is below 1. */
    listAdmissionProbabilities(): readonly RouteAdmission[] {
        return [...this.routes].map(([route, { probability }]) => ({ route, share: probability })).filter(({ share }) =>
            share < 1
        );
    }

    /** Counts an answer of the upstream, and whether the request failed because a nested call was refused. */
    recordAnswer(route: string, importance: Importance, nestedCallRefused: boolean): void {
        const state = this.updateWindow(route, importance);
        this.routes.set(route, {
            ...state,
            answered: state.answered + 1,
            nestedRefusals: state.nestedRefusals + (nestedCallRefused ? 1 : 0),
        });
    }

    /**
     * Updates the admission probability if the window of a route has elapsed, and starts a new one.
     * A window without answers raises the probability, so that a route recovers even if all its actions were shed.
     */
    private updateWindow(route: string, importance: Importance): RouteState {
        const nowMs = this.readMonotonicMs();
        const state = this.routes.get(route)
            ?? { ...initialAdmission, answered: 0, nestedRefusals: 0, windowStartMs: nowMs };
        if (nowMs - state.windowStartMs < shedWindowMs) {
            return state;
        }
        const nextState = {
            ...updateAdmissionByRefusals(state, state, importance),
            answered: 0,
            nestedRefusals: 0,
            windowStartMs: nowMs,
        };
        this.routes.set(route, nextState);
        return nextState;
    }
}
