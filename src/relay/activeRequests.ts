/** Tracks the requests that the local upstream is serving, and the results of their nested requests. */
import { type HopRequest, type LoadReport } from "./types";

/** A request that the local upstream is serving, with the totals of its nested requests. */
export interface ActiveRequest {
    /** Number of nested calls that have succeeded. */
    succeededNestedCalls: number;
    /** Number of nested calls whose answers have reported congestion. */
    answeredNestedCalls: number;
    /** Sum of the congestion values that these answers reported, each 0 to 1. */
    congestionSum: number;
    /** Number of nested calls at all depths, as reported so far. */
    nestedCalls: number;
    /** Whether the request has been sent to an upstream before, so that its nested calls count as retries. */
    readonly isRetry: boolean;
    /** Rank of the caller's request at the root of the call graph. */
    readonly rank: number;
    /** Whether the node refused one of its nested calls, so that the request will probably fail. */
    nestedCallRefused: boolean;
}

/** Holds the active requests by id. The id of a nested request is the id of its parent, a separator and a suffix. */
export class ActiveRequests {
    private readonly byId = new Map<string, ActiveRequest>();

    constructor(private readonly callSeparator: string) {}

    add({ requestId, isRetry, rank }: Pick<HopRequest, "requestId" | "isRetry" | "rank">): ActiveRequest {
        const request: ActiveRequest = {
            succeededNestedCalls: 0,
            answeredNestedCalls: 0,
            congestionSum: 0,
            nestedCalls: 0,
            isRetry,
            rank,
            nestedCallRefused: false,
        };
        this.byId.set(requestId, request);
        return request;
    }

    remove(id: string, request: ActiveRequest): void {
        if (this.byId.get(id) === request) {
            this.byId.delete(id);
        }
    }

    /** Finds the parent of a nested request by its id; returns undefined for a direct request or a completed parent. */
    findParent(requestId: string): ActiveRequest | undefined {
        const separatorIndex = requestId.lastIndexOf(this.callSeparator);
        return separatorIndex <= 0 ? undefined : this.byId.get(requestId.slice(0, separatorIndex));
    }
}

/** Adds the load report on the answer to a nested request to the totals of its parent. */
export const recordNestedAnswer = (parent: ActiveRequest, report: LoadReport): void => {
    parent.answeredNestedCalls += 1;
    parent.nestedCalls += 1 + report.nestedCalls;
    parent.congestionSum += report.congestion;
};

/** Computes the mean congestion that the nested requests reported, 0 to 1. Returns 1 if one of them was refused. */
export const computeNestedCongestion = (
    { answeredNestedCalls, congestionSum, nestedCallRefused }: ActiveRequest,
): number => {
    if (nestedCallRefused) {
        return 1;
    }
    return answeredNestedCalls === 0 ? 0 : congestionSum / answeredNestedCalls;
};
