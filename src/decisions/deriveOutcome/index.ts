import { firstServerErrorStatus } from "../../constants";
import { type Outcome } from "../../types";

/** Properties of an upstream's answer that determine the outcome of the request. */
export interface UpstreamAnswer {
    readonly status: number;
    /** Outcome that the upstream states in its answer, if any. */
    readonly statedOutcome: string | undefined;
    /** Statuses that this upstream sends only for requests that it has not started. */
    readonly notRunStatuses: readonly number[];
}

/** Derives the outcome of a request from its upstream's complete answer. */
export const deriveOutcome = (answer: UpstreamAnswer): Outcome => {
    if (answer.statedOutcome === "not-run" || answer.notRunStatuses.includes(answer.status)) {
        return "not-run";
    }
    return answer.status >= firstServerErrorStatus ? "failed" : "completed";
};
