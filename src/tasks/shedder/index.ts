/** Refuses at the entry what would fail for lack of room deep inside. */
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

/** The share of a route's new actions that is let in. */
export interface RouteShare {
    readonly route: string;
    readonly share: number;
}

/** Owns the admitted share of each route of the local service. */
export class Shedder {
    private readonly routes = new Map<string, RouteState>();

    constructor(private readonly readNowMs: () => number) {}

    /** Whether a new action of a route is let in. */
    canBegin(route: string, importance: Importance, action: string): boolean {
        const { share } = this.updateWindow(route, importance);
        return share >= 1 || computeSamplingValue(action) < share;
    }

    /** Admitted share of a route. */
    getShare(route: string): number {
        return this.routes.get(route)?.share ?? 1;
    }

    /** Lists the routes that are not let in wholly. */
    listShares(): readonly RouteShare[] {
        return [...this.routes].map(([route, { share }]) => ({ route, share })).filter(({ share }) => share < 1);
    }

    /** Records an answer of the upstream to an action of a route. */
    recordAnswer(route: string, importance: Importance, nestedCallRefused: boolean): void {
        const state = this.updateWindow(route, importance);
        this.routes.set(route, {
            ...state,
            answered: state.answered + 1,
            nestedCallRefused: state.nestedCallRefused + (nestedCallRefused ? 1 : 0),
        });
    }

    /** Ends the window of a route when its time is over; a route without traffic recovers as well. */
    private updateWindow(route: string, importance: Importance): RouteState {
        const nowMs = this.readNowMs();
        const state = this.routes.get(route)
            ?? { ...initialAdmission, answered: 0, nestedCallRefused: 0, windowStartMs: nowMs };
        if (nowMs - state.windowStartMs < shedWindowMs) {
            return state;
        }
        const refreshed = {
            ...updateAdmissionByRefusals(state, state, importance),
            answered: 0,
            nestedCallRefused: 0,
            windowStartMs: nowMs,
        };
        this.routes.set(route, refreshed);
        return refreshed;
    }
}
