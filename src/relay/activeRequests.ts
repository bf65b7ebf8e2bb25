/** Requests at the local upstream, and what the calls that it makes for them meet. */

import { type HopRequest, type LoadReport } from "./types";

/** One request that the local upstream is running. */
export interface ActiveRequest {
    /** Answers to its calls so far, and the sum of the congestion that they reported, each 0 to 1. */
    answeredCalls: number;
    congestionSum: number;
    /** Calls over all levels below. */
    nestedCalls: number;
    /** Whether it has been sent to an upstream before, so that its calls count as repeats. */
    readonly isRetry: boolean;
    /** Rank of the caller's request that it is done for. */
    readonly rank: number;
    /** Whether one of its calls came to no answer for lack of room, so that it is probably going to fail. */
    nestedCallRefused: boolean;
}

/** Owns the requests at the local upstream by id; the id of a call extends the id of the request that it is made for. */
export class ActiveRequests {
    private readonly byId = new Map<string, ActiveRequest>();

    constructor(private readonly callSeparator: string) {}

    add({ requestId, isRetry, rank }: Pick<HopRequest, "requestId" | "isRetry" | "rank">): ActiveRequest {
        const request: ActiveRequest = {
            answeredCalls: 0,
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

    /** Finds the request for which the local upstream makes a call; undefined for the request of a caller. */
    findParent(callId: string): ActiveRequest | undefined {
        const end = callId.lastIndexOf(this.callSeparator);
        return end <= 0 ? undefined : this.byId.get(callId.slice(0, end));
    }
}

/** Records what the answer to a call reported. */
export const recordNestedAnswer = (request: ActiveRequest, report: LoadReport): void => {
    request.answeredCalls += 1;
    request.nestedCalls += 1 + report.nestedCalls;
    request.congestionSum += report.congestion;
};

/** Computes the congestion that the calls of a request have met, 0 to 1. */
export const computeNestedCongestion = (
    { answeredCalls: calls, congestionSum: congestion, nestedCallRefused: hasRefusedCall }: ActiveRequest,
): number => {
    if (hasRefusedCall) {
        return 1;
    }
    return calls === 0 ? 0 : congestion / calls;
};
