/** Fake upstream on a virtual clock, with limited slots, a FIFO queue, simulated work and nested calls. */
import { createRandom } from "../_lib/createRandom";
import { type NestedCall, type UpstreamRoute } from "../standins/types";
import { deriveNestedKey } from "../standins/upstream";
import { findRequestHeader } from "../tasks/_lib/callRequest";
import { CollectingSink, FakeCallRequest } from "./fakeExchange";
import { type VirtualClock } from "./virtualClock";

/** One run of a request at an upstream, recorded when the run starts. */
export interface UpstreamRun {
    readonly endpoint: string;
    /** Start of the run on the virtual clock, in milliseconds. */
    readonly atMs: number;
    readonly action: string;
    readonly key: string | undefined;
    readonly route: UpstreamRoute;
}

export interface FakeUpstreamOptions {
    readonly endpoint: string;
    /** Maximum number of requests that run at the same time. */
    readonly slots: number;
    readonly seed: number;
    readonly routes: readonly UpstreamRoute[];
    /** Sends a nested request to another service, through the node if the graph has nodes. */
    readonly sendNestedRequest: (service: string, request: FakeCallRequest) => void;
    readonly recordRun: (run: UpstreamRun) => void;
}

interface AcceptedRequest {
    readonly request: FakeCallRequest;
    readonly route: UpstreamRoute;
    readonly deadlineAtMs: number;
    readonly state: { cancelled: boolean; };
}

/** Headers that an upstream copies to its nested requests. */
const propagatedHeaders = ["pomelovalve-action", "pomelovalve-call"];
const restartMs = 500;
/** Upper bound of the random factor by which the work of a request is multiplied. */
const maxRandomFactor = 4;

/** Runs requests while slots are free; skips queued ones that are cancelled or past their deadline. */
export class FakeUpstream {
    private readonly sampleRandom: () => number;
    private readonly queue: AcceptedRequest[] = [];
    private runningCount = 0;
    private workFactor = 1;
    private maxQueued = Infinity;
    private crashPath: string | undefined;
    private crashCount = 0;
    private isRestarting = false;
    private readonly runningRequests = new Set<AcceptedRequest>();

    constructor(private readonly clock: VirtualClock, private readonly options: FakeUpstreamOptions) {
        this.sampleRandom = createRandom(options.seed);
    }

    /** Sets the factor that multiplies the duration of work; requests that already run aren't affected. */
    updateWorkFactor(factor: number): void {
        this.workFactor = factor;
    }

    /** Makes the upstream answer new requests with 503 while its queue is longer than `maxQueued`. */
    updateShedding(maxQueued: number): void {
        this.maxQueued = maxQueued;
    }

    /** Makes the upstream crash whenever it runs a request with this path; undefined disables crashes. */
    updateCrashPath(path: string | undefined): void {
        this.crashPath = path;
    }

    get crashes(): number {
        return this.crashCount;
    }

    /** Whether the upstream is restarting after a crash. */
    isDown(): boolean {
        return this.isRestarting;
    }

    /** Handles a request from its node, or from another upstream in a graph without nodes. */
    handle(request: FakeCallRequest): void {
        const route = this.options.routes.find(candidate =>
            candidate.method === request.method && request.url.startsWith(candidate.pathPrefix)
        );
        if (!route) {
            sendAnswer(request, 404);
            return;
        }
        if (this.queue.length > this.maxQueued) {
            sendAnswer(request, 503);
            return;
        }
        const remainingMs = Number(findRequestHeader(request, "pomelovalve-deadline") ?? Infinity);
        const state = { cancelled: false };
        request.onEarlyClose(() => {
            state.cancelled = true;
        });
        this.queue.push({ request, route, deadlineAtMs: this.clock.readMonotonicMs() + remainingMs, state });
        this.runNext();
    }

    private runNext(): void {
        while (this.runningCount < this.options.slots && this.queue.length > 0) {
            const accepted = this.queue.shift()!;
            if (!accepted.state.cancelled && this.clock.readMonotonicMs() < accepted.deadlineAtMs) {
                this.run(accepted);
            }
        }
    }

    private run(accepted: AcceptedRequest): void {
        this.runningCount += 1;
        this.runningRequests.add(accepted);
        this.options.recordRun({
            endpoint: this.options.endpoint,
            atMs: this.clock.readMonotonicMs(),
            action: findRequestHeader(accepted.request, "pomelovalve-action") ?? "",
            key: findRequestHeader(accepted.request, "idempotency-key"),
            route: accepted.route,
        });
        if (accepted.request.url === this.crashPath) {
            this.abortRequests();
            return;
        }
        const randomFactor = 0.5 - Math.log(1 - this.sampleRandom()) / 2;
        const workMs = accepted.route.workMs * this.workFactor * Math.min(maxRandomFactor, randomFactor);
        this.clock.schedule(workMs, () => this.sendNestedRequests(accepted));
    }

    private sendNestedRequests(accepted: AcceptedRequest): void {
        let pendingCount = accepted.route.nestedCalls.length;
        let hasFailed = false;
        if (pendingCount === 0 || accepted.state.cancelled) {
            this.finish(accepted, false);
            return;
        }
        const nestedRequests = accepted.route.nestedCalls.map(call => {
            const sink = new CollectingSink(answer => {
                hasFailed ||= !answer.isComplete || answer.head?.status !== 200;
                pendingCount -= 1;
                if (pendingCount === 0) {
                    this.finish(accepted, hasFailed);
                }
            });
            return { call, request: createNestedRequest(accepted.request, call, sink) };
        });
        accepted.request.onEarlyClose(() => {
            accepted.state.cancelled = true;
            nestedRequests.forEach(({ request }) => request.close());
            if (pendingCount > 0) {
                pendingCount = Infinity;
                this.finish(accepted, true);
            }
        });
        nestedRequests.forEach(({ call, request }) => this.options.sendNestedRequest(call.service, request));
    }

    /** Simulates a crash: aborts all running and queued requests, and ends the restart after `restartMs`. */
    private abortRequests(): void {
        this.crashCount += 1;
        this.isRestarting = true;
        [...this.runningRequests, ...this.queue].forEach(accepted => {
            accepted.state.cancelled = true;
            accepted.request.sink.abort();
        });
        this.runningRequests.clear();
        this.queue.length = 0;
        this.runningCount = 0;
        this.clock.schedule(restartMs, () => {
            this.isRestarting = false;
        });
    }

    private finish(accepted: AcceptedRequest, hasFailed: boolean): void {
        if (!this.runningRequests.delete(accepted)) {
            return;
        }
        this.runningCount -= 1;
        if (!accepted.state.cancelled) {
            sendAnswer(accepted.request, hasFailed ? 502 : 200);
        }
        this.runNext();
    }
}

const createNestedRequest = (parent: FakeCallRequest, call: NestedCall, sink: CollectingSink): FakeCallRequest => {
    const headers = ["host", call.service];
    propagatedHeaders.forEach(name => {
        const value = findRequestHeader(parent, name);
        if (value !== undefined) {
            headers.push(name, value);
        }
    });
    const key = findRequestHeader(parent, "idempotency-key");
    if (key !== undefined && call.method !== "GET") {
        headers.push("idempotency-key", deriveNestedKey(key, call));
    }
    return new FakeCallRequest(call.method, call.path, headers, undefined, sink);
};

const sendAnswer = (request: FakeCallRequest, status: number): void => {
    const body = Buffer.from(status === 200 ? "whole" : "failed");
    request.sink.start({ status, rawHeaders: ["content-length", String(body.length)] });
    request.sink.write(body);
    request.sink.end();
};
