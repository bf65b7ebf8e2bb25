/** Requests at the local upstream, and what the calls that it makes for them meet. */

import { type HopRequest, type LoadReport } from "./types";

/** One request that the local upstream is running. */
export interface ActiveRequest {
    /** Answers to its calls so far, and the sum of the congestion that they reported, each 0 to 1. */
    calls: number;
    congestion: number;
    /** Calls over all levels below. */
    allCalls: number;
    /** Whether it has been sent to an upstream before, so that its calls count as repeats. */
    readonly isRetry: boolean;
    /** Rank of the caller's request that it is done for. */
    readonly rank: number;
    /** Whether one of its calls came to no answer for lack of room, so that it is probably going to fail. */
    hasRefusedCall: boolean;
}

/** Owns the requests at the local upstream by id; the id of a call extends the id of the request that it is made for. */
export class ActiveRequests {
    private readonly byId = new Map<string, ActiveRequest>();

    constructor(private readonly callSeparator: string) {}

    add({ requestId, isRetry, rank }: Pick<HopRequest, "requestId" | "isRetry" | "rank">): ActiveRequest {
        const request: ActiveRequest = { calls: 0, congestion: 0, allCalls: 0, isRetry, rank, hasRefusedCall: false };
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
export const recordCallAnswer = (request: ActiveRequest, report: LoadReport): void => {
    request.calls += 1;
    request.allCalls += 1 + report.calls;
    request.congestion += report.congestion;
};

/** Computes the congestion that the calls of a request have met, 0 to 1. */
export const computeCallCongestion = ({ calls, congestion, hasRefusedCall }: ActiveRequest): number => {
    if (hasRefusedCall) {
        return 1;
    }
    return calls === 0 ? 0 : congestion / calls;
};
