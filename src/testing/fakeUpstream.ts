/** Fake of an upstream on a virtual clock: slots, a plain queue, work, and calls to other services. */
import { createRandom } from "../_lib/createRandom";
import { type NestedCall, type UpstreamRoute } from "../standins/types";
import { deriveNestedKey } from "../standins/upstream";
import { findRequestHeader } from "../tasks/_lib/callRequest";
import { CollectingSink, FakeCallRequest } from "./fakeExchange";
import { type VirtualClock } from "./virtualClock";

/** One run of a request at an upstream. */
export interface UpstreamRun {
    readonly endpoint: string;
    readonly atMs: number;
    readonly action: string;
    readonly key: string | undefined;
    readonly route: UpstreamRoute;
}

/** What a fake upstream is made of. */
export interface FakeUpstreamOptions {
    readonly endpoint: string;
    readonly slots: number;
    readonly seed: number;
    readonly routes: readonly UpstreamRoute[];
    /** Sends a call of the upstream to another service. */
    readonly callChild: (service: string, request: FakeCallRequest) => void;
    readonly recordRun: (run: UpstreamRun) => void;
}

interface Job {
    readonly request: FakeCallRequest;
    readonly route: UpstreamRoute;
    readonly deadlineAtMs: number;
    readonly state: { cancelled: boolean; };
}

const passedHeaders = ["pomelovalve-action", "pomelovalve-call"];
const restartMs = 500;
const maxSampledShare = 4;

/** Owns the slots and the queue. */
export class FakeUpstream {
    private readonly sampleRandom: () => number;
    private readonly queue: Job[] = [];
    private running = 0;
    private workFactor = 1;
    private refuseAbove = Infinity;
    private crashPath: string | undefined;
    private crashCount = 0;
    private down = false;
    private readonly open = new Set<Job>();

    constructor(private readonly clock: VirtualClock, private readonly options: FakeUpstreamOptions) {
        this.sampleRandom = createRandom(options.seed);
    }

    /** Changes how long the work takes. */
    updateWorkFactor(factor: number): void {
        this.workFactor = factor;
    }

    /** Makes the upstream shed what it can't start at once while more than so many requests wait. */
    updateShedding(maxQueued: number): void {
        this.refuseAbove = maxQueued;
    }

    /** Makes the upstream crash whenever it runs a request with this path. */
    updateCrashPath(path: string | undefined): void {
        this.crashPath = path;
    }

    /** How often the upstream has crashed. */
    get crashes(): number {
        return this.crashCount;
    }

    /** Whether the upstream is restarting after a crash. */
    isDown(): boolean {
        return this.down;
    }

    /** Handles a request of the node beside it. */
    handle(request: FakeCallRequest): void {
        const route = this.options.routes.find(candidate =>
            candidate.method === request.method && request.url.startsWith(candidate.pathPrefix)
        );
        if (!route) {
            sendAnswer(request, 404);
            return;
        }
        if (this.queue.length > this.refuseAbove) {
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
        while (this.running < this.options.slots && this.queue.length > 0) {
            const job = this.queue.shift()!;
            if (!job.state.cancelled && this.clock.readMonotonicMs() < job.deadlineAtMs) {
                this.run(job);
            }
        }
    }

    private run(job: Job): void {
        this.running += 1;
        this.open.add(job);
        this.options.recordRun({
            endpoint: this.options.endpoint,
            atMs: this.clock.readMonotonicMs(),
            action: findRequestHeader(job.request, "pomelovalve-action") ?? "",
            key: findRequestHeader(job.request, "idempotency-key"),
            route: job.route,
        });
        if (job.request.url === this.crashPath) {
            this.abortAll();
            return;
        }
        const sampled = 0.5 - Math.log(1 - this.sampleRandom()) / 2;
        const workMs = job.route.workMs * this.workFactor * Math.min(maxSampledShare, sampled);
        this.clock.schedule(workMs, () => this.callChildren(job));
    }

    private callChildren(job: Job): void {
        let open = job.route.nestedCalls.length;
        let failed = false;
        if (open === 0 || job.state.cancelled) {
            this.finish(job, false);
            return;
        }
        const children = job.route.nestedCalls.map(child => {
            const sink = new CollectingSink(answer => {
                failed ||= !answer.whole || answer.head?.status !== 200;
                open -= 1;
                if (open === 0) {
                    this.finish(job, failed);
                }
            });
            return { child, request: createChildRequest(job.request, child, sink) };
        });
        job.request.onEarlyClose(() => {
            job.state.cancelled = true;
            children.forEach(({ request }) => request.close());
            if (open > 0) {
                open = Infinity;
                this.finish(job, true);
            }
        });
        children.forEach(({ child, request }) => this.options.callChild(child.service, request));
    }

    /** Breaks off everything under way and comes back empty after a while. */
    private abortAll(): void {
        this.crashCount += 1;
        this.down = true;
        [...this.open, ...this.queue].forEach(job => {
            job.state.cancelled = true;
            job.request.sink.abort();
        });
        this.open.clear();
        this.queue.length = 0;
        this.running = 0;
        this.clock.schedule(restartMs, () => {
            this.down = false;
        });
    }

    private finish(job: Job, failed: boolean): void {
        if (!this.open.delete(job)) {
            return;
        }
        this.running -= 1;
        if (!job.state.cancelled) {
            sendAnswer(job.request, failed ? 502 : 200);
        }
        this.runNext();
    }
}

const createChildRequest = (parent: FakeCallRequest, child: NestedCall, sink: CollectingSink): FakeCallRequest => {
    const headers = ["host", child.service];
    passedHeaders.forEach(name => {
        const value = findRequestHeader(parent, name);
        if (value !== undefined) {
            headers.push(name, value);
        }
    });
    const key = findRequestHeader(parent, "idempotency-key");
    if (key !== undefined && child.method !== "GET") {
        headers.push("idempotency-key", deriveNestedKey(key, child));
    }
    return new FakeCallRequest(child.method, child.path, headers, undefined, sink);
};

const sendAnswer = (request: FakeCallRequest, status: number): void => {
    const body = Buffer.from(status === 200 ? "whole" : "failed");
    request.sink.start({ status, rawHeaders: ["content-length", String(body.length)] });
    request.sink.write(body);
    request.sink.end();
};
