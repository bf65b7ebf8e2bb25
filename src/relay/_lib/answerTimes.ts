import { computeHedgeDelay, type DurationEstimate, updateDurationEstimate } from "../../decisions/computeHedgeDelay";

/** Owns the usual answer times, by route. */
export class AnswerTimes {
    private readonly means = new Map<string, DurationEstimate>();

    /** Records how long an answer took, in milliseconds. */
    record(route: string, durationMs: number): void {
        this.means.set(route, updateDurationEstimate(this.means.get(route), durationMs));
    }

    /** Time after which an answer is later than usual, in milliseconds; undefined while too little is known. */
    computeHedgeDelay(route: string): number | undefined {
        const mean = this.means.get(route);
        return mean && computeHedgeDelay(mean);
    }
}
