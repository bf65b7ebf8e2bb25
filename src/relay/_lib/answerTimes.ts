import { computeHedgeDelay, type DurationEstimate, updateDurationEstimate } from "../../decisions/computeHedgeDelay";

/** Records the mean answer time of each route. */
export class AnswerTimes {
    private readonly means = new Map<string, DurationEstimate>();

    /** Records the time from sending a request to its answer, in milliseconds. */
    record(route: string, durationMs: number): void {
        this.means.set(route, updateDurationEstimate(this.means.get(route), durationMs));
    }

    /** Computes the delay of a hedged request, in milliseconds; undefined while too few answers are recorded. */
    computeHedgeDelay(route: string): number | undefined {
        const mean = this.means.get(route);
        return mean && computeHedgeDelay(mean);
    }
}
