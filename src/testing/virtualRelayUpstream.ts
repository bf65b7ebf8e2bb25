/** An upstream of a virtual relay fleet: it works, and then makes its calls through its node. */
import { type Route } from "../routing/types";
import { findRequestHeader } from "../tasks/_lib/callRequest";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { testHeaderNames } from "./startRelayFleet";
import { type VirtualClock } from "./virtualClock";

/** A call that requests of a route make, a number of times in a row. */
export interface NestedCall {
    readonly route: Route;
    readonly times: number;
    readonly deadlineMs: number;
}

/** What running a request of a route takes. */
export interface RouteWork {
    readonly meanWorkMs: number;
    readonly nestedCalls: readonly NestedCall[];
    /** Whether all calls are made at once rather than one after the other. */
    readonly isParallel?: boolean;
}

/** What an upstream is made of. */
export interface VirtualRelayUpstreamOptions {
    readonly slots: number;
    /** Factor on the time of the work. */
    readonly baseWorkFactor: number;
    readonly sampleRandom: () => number;
    /** By the name of the route, which is the first part of the path. */
    readonly work: Readonly<Record<string, RouteWork>>;
    /** Hands a call to the node. */
    readonly sendNestedRequest: (request: FakeCallRequest) => void;
}

interface Run {
    readonly request: FakeCallRequest;
    readonly id: string;
    readonly endsAtMs: number;
    /** Calls that are still to be made. */
    readonly calls: NestedCall[];
    readonly together: boolean;
    made: number;
    answered: number;
    isEnded: boolean;
    readonly open: Set<FakeCallRequest>;
}

const fullShare = 0.95;
const fullFactor = 1.3;
const ok = 200;
const firstServerError = 500;
const unavailable = 503;
const gatewayTimeout = 504;

/** Owns the runs. */
export class VirtualRelayUpstream {
    private running = 0;
    private workFactor = 1;
    private rejectedShare = 0;

    constructor(private readonly clock: VirtualClock, private readonly options: VirtualRelayUpstreamOptions) {}

    /** Changes how long the work takes. */
    updateWorkFactor(factor: number): void {
        this.workFactor = factor;
    }

    /** Makes the upstream reject a share of all requests without running them, while it works well otherwise. */
    updateRejectedShare(share: number): void {
        this.rejectedShare = share;
    }

    /** Handles a request of the node beside it. */
    handle(request: FakeCallRequest): void {
        if (this.rejectedShare > 0 && this.options.sampleRandom() < this.rejectedShare) {
            request.sink.start({ status: unavailable, rawHeaders: [testHeaderNames.notRun, "1"] });
            request.sink.end();
            return;
        }
        const work = this.options.work[request.url.split("/")[1]!]!;
        const remainingMs = Number(findRequestHeader(request, testHeaderNames.deadline));
        const run: Run = {
            request,
            id: findRequestHeader(request, testHeaderNames.requestId)!,
            endsAtMs: this.clock.readMonotonicMs() + remainingMs,
            calls: work.nestedCalls.flatMap(call => Array.from({ length: call.times }, () => call)),
            together: work.isParallel ?? false,
            made: 0,
            answered: 0,
            isEnded: false,
            open: new Set(),
        };
        this.running += 1;
        request.onEarlyClose(() => {
            this.end(run, undefined);
        });
        this.clock.schedule(remainingMs, () => this.end(run, gatewayTimeout));
        this.clock.schedule(this.sampleWorkMs(work.meanWorkMs), () => this.runNext(run));
    }

    /** Most runs take about the mean, some several times as long. */
    private sampleWorkMs(meanMs: number): number {
        const { slots, baseWorkFactor: speed, sampleRandom } = this.options;
        const crowding = this.running > slots * fullShare ? fullFactor : 1;
        return meanMs * speed * this.workFactor * crowding * (0.5 - Math.log(1 - sampleRandom()) / 2);
    }

    private runNext(run: Run): void {
        if (run.isEnded || run.answered === run.calls.length) {
            this.end(run, ok);
            return;
        }
        do {
            this.call(run, run.calls[run.made]!);
        }
        while (run.together && run.made < run.calls.length);
    }

    private call(run: Run, { route, deadlineMs }: NestedCall): void {
        run.made += 1;
        const id = `${run.id}${testHeaderNames.callSeparator}${run.made}`;
        const leftMs = Math.min(deadlineMs, run.endsAtMs - this.clock.readMonotonicMs());
        const request: FakeCallRequest = createEntryRequest(route, id, leftMs, answer => {
            run.open.delete(request);
            run.answered += 1;
            if (answer.head?.status !== ok) {
                this.end(run, firstServerError);
                return;
            }
            if (!run.together || run.answered === run.calls.length) {
                this.runNext(run);
            }
        });
        run.open.add(request);
        this.options.sendNestedRequest(request);
    }

    private end(run: Run, status: number | undefined): void {
        if (run.isEnded) {
            return;
        }
        run.isEnded = true;
        this.running -= 1;
        run.open.forEach(request => request.close());
        if (status === undefined) {
            return;
        }
        run.request.sink.start({ status, rawHeaders: [testHeaderNames.requestId, run.id] });
        run.request.sink.end();
    }
}

/** Creates a request for the entry of a node. */
export const createEntryRequest = (
    route: Route,
    id: string,
    deadlineMs: number,
    finish: (answer: ReceivedAnswer) => void,
): FakeCallRequest =>
    new FakeCallRequest(
        route.idempotent ? "GET" : "POST",
        `${route.prefix}${id}`,
        ["host", route.host, testHeaderNames.requestId, id, testHeaderNames.deadline, String(Math.floor(deadlineMs))],
        undefined,
        new CollectingSink(finish),
    );
