import { computeHedgeDelay, type DurationEstimate, updateDurationEstimate } from "../../decisions/computeHedgeDelay";

/** Estimates how long upstreams take to answer the requests of each route. */
export class AnswerTimes {
    private readonly estimates = new Map<string, DurationEstimate>();

    /** Records the time from sending a request to its complete answer, in milliseconds. */
    record(route: string, durationMs: number): void {
        this.estimates.set(route, updateDurationEstimate(this.estimates.get(route), durationMs));
    }

    /** Computes the delay of a hedged request, in milliseconds. Returns undefined while too few answers are known. */
    computeHedgeDelay(route: string): number | undefined {
        const estimate = this.estimates.get(route);
        return estimate && computeHedgeDelay(estimate);
    }
}
