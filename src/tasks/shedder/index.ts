/** Load shedding at the entry: refuses actions whose nested calls would be refused for lack of capacity. */
import { shedWindowMs } from "../../constants";
import {
    type AdmissionState,
    computeSamplingValue,
    initialAdmission,
    updateAdmissionByRefusals,
} from "../../decisions/updateAdmissionByRefusals";
import { type Importance } from "../../types";

interface RouteState extends AdmissionState {
    readonly answered: number;
    readonly nestedCallRefused: number;
    readonly windowStartMs: number;
}

/** Admission probability of new actions of a route, 0 to 1. */
export interface RouteAdmission {
    readonly route: string;
    readonly share: number;
}

/** Owns the admission probability of each route of the local service. */
export class Shedder {
    private readonly routes = new Map<string, RouteState>();

    constructor(private readonly readNowMs: () => number) {}

    /** Whether a new action of a route is admitted. */
    canAdmit(route: string, importance: Importance, action: string): boolean {
        const { probability } = this.updateWindow(route, importance);
        return probability >= 1 || computeSamplingValue(action) < probability;
    }

    /** Gets the admission probability of a route, 0 to 1. */
    readAdmissionProbability(route: string): number {
        return this.routes.get(route)?.probability ?? 1;
    }

    /** Lists the admission probabilities of the routes that are being shed. */
    listAdmissionProbabilities(): readonly RouteAdmission[] {
        return [...this.routes].map(([route, { probability }]) => ({ route, share: probability })).filter(({ share }) =>
            share < 1
        );
    }

    /** Records that the upstream answered an action of a route, and whether one of its nested calls was refused. */
    recordAnswer(route: string, importance: Importance, nestedCallRefused: boolean): void {
        const state = this.updateWindow(route, importance);
        this.routes.set(route, {
            ...state,
            answered: state.answered + 1,
            nestedCallRefused: state.nestedCallRefused + (nestedCallRefused ? 1 : 0),
        });
    }

    /** Starts a new window for a route once the current one has elapsed; a route without traffic recovers as well. */
    private updateWindow(route: string, importance: Importance): RouteState {
        const nowMs = this.readNowMs();
        const state = this.routes.get(route)
            ?? { ...initialAdmission, answered: 0, nestedCallRefused: 0, windowStartMs: nowMs };
        if (nowMs - state.windowStartMs < shedWindowMs) {
            return state;
        }
        const nextState = {
            ...updateAdmissionByRefusals(state, state, importance),
            answered: 0,
            nestedCallRefused: 0,
            windowStartMs: nowMs,
        };
        this.routes.set(route, nextState);
        return nextState;
    }
}
