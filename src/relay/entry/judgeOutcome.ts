import { firstServerErrorStatus } from "../../constants";
import { type HopResult } from "../types";

/** Whether an upstream has answered, and without a server error. */
export const isSuccess = (result: HopResult): boolean =>
    result.kind === "answered" && result.head.status < firstServerErrorStatus;

/** Judges whether the upstream of a hop has failed. A refusal by its node and a cancelled request tell nothing. */
export const judgeOutcome = (result: HopResult): "success" | "failure" | "unknown" => {
    if (result.kind === "answered") {
        const isFailure = result.head.status >= firstServerErrorStatus;
        return isFailure && result.nestedCallRefused ? "unknown" : isFailure ? "failure" : "success";
    }
    if (result.kind === "not-run") {
        return result.reason === "rejected" || result.reason === "down" ? "failure" : "unknown";
    }
    return result.cause === "cancelled" ? "unknown" : "failure";
};
