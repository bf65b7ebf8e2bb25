/** Requests that the local upstream is serving, and the results of their nested requests. */
import { type HopRequest, type LoadReport } from "./types";

/** A request that the local upstream is serving. */
export interface ActiveRequest {
    /** Number of nested calls answered so far. */
    answeredNestedCalls: number;
    /** Sum of the congestion that these answers reported, each 0 to 1. */
    congestionSum: number;
    /** Number of nested calls at all depths. */
    nestedCalls: number;
    /** Whether it has been sent to an upstream before, so that its nested calls count as retries. */
    readonly isRetry: boolean;
    /** Rank of the caller's request at the root of the call graph. */
    readonly rank: number;
    /** Whether one of its nested calls was refused, so that it will probably fail. */
    nestedCallRefused: boolean;
}

/** Holds the active requests by id; the id of a nested request extends the id of its parent. */
export class ActiveRequests {
    private readonly byId = new Map<string, ActiveRequest>();

    constructor(private readonly callSeparator: string) {}

    add({ requestId, isRetry, rank }: Pick<HopRequest, "requestId" | "isRetry" | "rank">): ActiveRequest {
        const request: ActiveRequest = {
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

    /** Finds the parent of a nested request; returns undefined for a direct request. */
    findParent(requestId: string): ActiveRequest | undefined {
        const end = requestId.lastIndexOf(this.callSeparator);
        return end <= 0 ? undefined : this.byId.get(requestId.slice(0, end));
    }
}

/** Records the load report on the answer to a nested request. */
export const recordNestedAnswer = (request: ActiveRequest, report: LoadReport): void => {
    request.answeredNestedCalls += 1;
    request.nestedCalls += 1 + report.nestedCalls;
    request.congestionSum += report.congestion;
};

/** Computes the mean congestion that the nested requests reported, 0 to 1; 1 if one of them was refused. */
export const computeNestedCongestion = (
    { answeredNestedCalls: answeredCalls, congestionSum, nestedCallRefused }: ActiveRequest,
): number => {
    if (nestedCallRefused) {
        return 1;
    }
    return answeredCalls === 0 ? 0 : congestionSum / answeredCalls;
};
