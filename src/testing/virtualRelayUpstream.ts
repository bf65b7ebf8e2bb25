/** Fake upstream of a virtual relay fleet. It simulates its own work, then makes nested calls through its node. */
import { type Route } from "../routing/types";
import { findRequestHeader } from "../tasks/_lib/callRequest";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { testHeaderNames } from "./startRelayFleet";
import { type VirtualClock } from "./virtualClock";

/** Nested calls of one route that an upstream makes while it serves a request. */
export interface NestedCall {
    readonly route: Route;
    /** Number of calls. */
    readonly times: number;
    /** Maximum time from each call to its deadline, in milliseconds; the parent's deadline may be earlier. */
    readonly deadlineMs: number;
}

/** What an upstream does to serve a request of a route. */
export interface RouteWork {
    /** Mean duration of the upstream's own work, in milliseconds. */
    readonly meanWorkMs: number;
    readonly nestedCalls: readonly NestedCall[];
    /** Whether the nested calls are made in parallel rather than one after the other. */
    readonly isParallel?: boolean;
}

export interface VirtualRelayUpstreamOptions {
    readonly slots: number;
    /** Constant factor that multiplies the duration of work; instances of a service can differ in speed. */
    readonly baseWorkFactor: number;
    readonly sampleRandom: () => number;
    /** Work and nested calls, by the name of the route, which is the first segment of a request's path. */
    readonly work: Readonly<Record<string, RouteWork>>;
    /** Sends a nested request to the node. */
    readonly sendNestedRequest: (request: FakeCallRequest) => void;
}

interface RequestRun {
    readonly request: FakeCallRequest;
    readonly id: string;
    readonly deadlineAtMs: number;
    /** All nested calls, in the order in which they are made. */
    readonly nestedCalls: NestedCall[];
    readonly isParallel: boolean;
    sentCount: number;
    answeredCount: number;
    isEnded: boolean;
    readonly openRequests: Set<FakeCallRequest>;
}

/** Share of slots in use above which the duration of new work is multiplied by `highUtilizationFactor`. */
const highUtilization = 0.95;
const highUtilizationFactor = 1.3;
const okStatus = 200;
const internalServerErrorStatus = 500;
const unavailableStatus = 503;
const gatewayTimeoutStatus = 504;

/** Runs each request as soon as it arrives, without a queue; its node limits the number of concurrent requests. */
export class VirtualRelayUpstream {
    private runningCount = 0;
    private workFactor = 1;
    private rejectedShare = 0;
    private namedHeaders: readonly string[] = [];
    /** Times at which requests arrived, in milliseconds. */
    readonly arrivalTimes: number[] = [];

    constructor(private readonly clock: VirtualClock, private readonly options: VirtualRelayUpstreamOptions) {}

    /** Sets the factor that multiplies the duration of work; requests that already run aren't affected. */
    updateWorkFactor(factor: number): void {
        this.workFactor = factor;
    }

    /** Makes the upstream reject a share of all requests with 503 without running them; the others run as usual. */
    updateRejectedShare(share: number): void {
        this.rejectedShare = share;
    }

    /** Adds headers to all answers, such as a rate limit. */
    updateNamedHeaders(rawHeaders: readonly string[]): void {
        this.namedHeaders = rawHeaders;
    }

    /** Handles a request from its node. */
    handle(request: FakeCallRequest): void {
        this.arrivalTimes.push(this.clock.readMonotonicMs());
        if (this.rejectedShare > 0 && this.options.sampleRandom() < this.rejectedShare) {
            request.sink.start({
                status: unavailableStatus,
                rawHeaders: [testHeaderNames.notRun, "1", ...this.namedHeaders],
            });
            request.sink.end();
            return;
        }
        const work = this.options.work[request.url.split("/")[1]!]!;
        const remainingMs = Number(findRequestHeader(request, testHeaderNames.deadline));
        const run: RequestRun = {
            request,
            id: findRequestHeader(request, testHeaderNames.requestId)!,
            deadlineAtMs: this.clock.readMonotonicMs() + remainingMs,
            nestedCalls: work.nestedCalls.flatMap(call => Array.from({ length: call.times }, () => call)),
            isParallel: work.isParallel ?? false,
            sentCount: 0,
            answeredCount: 0,
            isEnded: false,
            openRequests: new Set(),
        };
        this.runningCount += 1;
        request.onEarlyClose(() => {
            this.end(run, undefined);
        });
        this.clock.schedule(remainingMs, () => this.end(run, gatewayTimeoutStatus));
        this.clock.schedule(this.sampleWorkMs(work.meanWorkMs), () => this.runNext(run));
    }

    /** Samples a shifted exponential distribution: at least half the mean, and sometimes several times the mean. */
    private sampleWorkMs(meanWorkMs: number): number {
        const { slots, baseWorkFactor, sampleRandom } = this.options;
        const utilizationFactor = this.runningCount > slots * highUtilization ? highUtilizationFactor : 1;
        return meanWorkMs * baseWorkFactor * this.workFactor * utilizationFactor
            * (0.5 - Math.log(1 - sampleRandom()) / 2);
    }

    private runNext(run: RequestRun): void {
        if (run.isEnded || run.answeredCount === run.nestedCalls.length) {
            this.end(run, okStatus);
            return;
        }
        do {
            this.sendNestedCall(run, run.nestedCalls[run.sentCount]!);
        }
        while (run.isParallel && run.sentCount < run.nestedCalls.length);
    }

    private sendNestedCall(run: RequestRun, { route, deadlineMs }: NestedCall): void {
        run.sentCount += 1;
        const id = `${run.id}${testHeaderNames.callSeparator}${run.sentCount}`;
        const remainingMs = Math.min(deadlineMs, run.deadlineAtMs - this.clock.readMonotonicMs());
        const request: FakeCallRequest = createEntryRequest(route, id, remainingMs, answer => {
            run.openRequests.delete(request);
            run.answeredCount += 1;
            if (answer.head?.status !== okStatus) {
                this.end(run, internalServerErrorStatus);
                return;
            }
            if (!run.isParallel || run.answeredCount === run.nestedCalls.length) {
                this.runNext(run);
            }
        });
        run.openRequests.add(request);
        this.options.sendNestedRequest(request);
    }

    private end(run: RequestRun, status: number | undefined): void {
        if (run.isEnded) {
            return;
        }
        run.isEnded = true;
        this.runningCount -= 1;
        run.openRequests.forEach(request => request.close());
        if (status === undefined) {
            return;
        }
        run.request.sink.start({ status, rawHeaders: [testHeaderNames.requestId, run.id, ...this.namedHeaders] });
        run.request.sink.end();
    }
}

/** Creates a request to the entry of a node. `onEnd` receives the answer when it is complete or aborted. */
export const createEntryRequest = (
    route: Route,
    id: string,
    deadlineMs: number,
    onEnd: (answer: ReceivedAnswer) => void,
): FakeCallRequest =>
    new FakeCallRequest(
        route.idempotent ? "GET" : "POST",
        `${route.prefix}${id}`,
        ["host", route.host, testHeaderNames.requestId, id, testHeaderNames.deadline, String(Math.floor(deadlineMs))],
        undefined,
        new CollectingSink(onEnd),
    );
