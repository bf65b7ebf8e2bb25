import { firstServerErrorStatus } from "../../constants";
import { type Outcome } from "../../types";

/** What is known of an upstream's answer. */
export interface UpstreamAnswer {
    readonly status: number;
    /** The upstream's own statement of the outcome, if it made one. */
    readonly stated: string | undefined;
    /** Statuses that this upstream answers only when it has not started the request. */
    readonly notRunStatuses: readonly number[];
}

/** Derives the outcome of a request from its upstream's whole answer. */
export const deriveOutcome = (answer: UpstreamAnswer): Outcome => {
    if (answer.stated === "not-run" || answer.notRunStatuses.includes(answer.status)) {
        return "not-run";
    }
    return answer.status >= firstServerErrorStatus ? "failed" : "completed";
};
