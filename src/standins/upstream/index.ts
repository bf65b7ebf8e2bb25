/** Stand-in for an upstream, with limited slots, a FIFO queue, simulated work and nested calls to other services. */
import { createHash } from "node:crypto";
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Agent, type Dispatcher, request as sendRequest } from "undici";
import { createRandom } from "../../_lib/createRandom";
import { type Address } from "../../types";
import { readText, sendJson, serveHttp } from "../_lib/serveHttp";
import { type NestedCall, type UpstreamConfig, type UpstreamReport, type UpstreamRoute } from "../types";

interface Job {
    readonly route: UpstreamRoute;
    readonly headers: IncomingMessage["headers"];
    readonly response: ServerResponse;
    readonly cancellation: AbortController;
    readonly deadlineAtMs: number;
}

/** Headers that an upstream copies to its nested requests. */
const propagatedHeaders = ["pomelovalve-action", "pomelovalve-call", "traceparent", "authorization"];
/** Upper bound of the random factor by which the work of a request is multiplied. */
const maxRandomFactor = 4;

/** Derives the key of a nested call from the key of its parent, so that a retried parent sends the same nested keys. */
export const deriveNestedKey = (parentKey: string, call: NestedCall): string => {
    const digest = createHash("sha256").update(`${parentKey}\n${call.service}${call.path}`).digest("hex");
    return `${parentKey.slice(0, 13)}-7${digest.slice(0, 3)}-8${digest.slice(3, 6)}-${digest.slice(6, 18)}`;
};

/** Serves the configured routes; skips queued requests whose sender has left or whose deadline has passed. */
export class UpstreamStandIn {
    private readonly agent = new Agent({ connections: 512, pipelining: 1 });
    private readonly sampleRandom: () => number;
    private readonly queue: Job[] = [];
    private readonly runsByKey = new Map<string, number>();
    private runningCount = 0;
    private runCount = 0;
    private cancelledRunCount = 0;
    private workFactor = 1;
    private server: Server | undefined;

    constructor(private readonly config: UpstreamConfig) {
        this.sampleRandom = createRandom(config.seed);
    }

    async start(): Promise<void> {
        this.server = await serveHttp(this.config.port, (request, response) => void this.handle(request, response));
    }

    stop(): void {
        this.server?.closeAllConnections();
        this.server?.close();
    }

    readReport(): UpstreamReport {
        return {
            endpoint: this.config.endpoint,
            runs: this.runCount,
            cancelledRuns: this.cancelledRunCount,
            runsByKey: Object.fromEntries(this.runsByKey),
        };
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/standin/report") {
            sendJson(response, 200, this.readReport());
            return;
        }
        const text = await readText(request).catch(() => "");
        if (request.url === "/standin/work-factor") {
            this.workFactor = (JSON.parse(text) as { readonly factor: number; }).factor;
            sendJson(response, 200, {});
            return;
        }
        const route = this.config.routes.find(candidate =>
            candidate.method === request.method && request.url!.startsWith(candidate.pathPrefix)
        );
        if (!route) {
            sendJson(response, 404, { error: "no such route" });
            return;
        }
        this.enqueue(this.createJob(route, request, response));
    }

    private createJob(route: UpstreamRoute, request: IncomingMessage, response: ServerResponse): Job {
        const cancellation = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                cancellation.abort();
            }
        });
        const remainingMs = Number(request.headers["pomelovalve-deadline"] ?? Infinity);
        return {
            route,
            headers: request.headers,
            response,
            cancellation,
            deadlineAtMs: performance.now() + remainingMs,
        };
    }

    private enqueue(job: Job): void {
        this.queue.push(job);
        this.startJobs();
    }

    private startJobs(): void {
        while (this.runningCount < this.config.slots && this.queue.length > 0) {
            const job = this.queue.shift()!;
            const isAwaited = !job.cancellation.signal.aborted && performance.now() < job.deadlineAtMs;
            if (!isAwaited) {
                job.response.destroy();
                continue;
            }
            this.runningCount += 1;
            void this.run(job).finally(() => {
                this.runningCount -= 1;
                this.startJobs();
            });
        }
    }

    private async run(job: Job): Promise<void> {
        this.recordRun(job);
        try {
            await this.awaitWork(job);
            await Promise.all(job.route.nestedCalls.map(call => this.callService(call, job)));
            sendJson(job.response, 200, {
                endpoint: this.config.endpoint,
                resultCount: 1 + job.route.nestedCalls.length,
            });
        }
        catch (error) {
            if (job.cancellation.signal.aborted) {
                this.cancelledRunCount += 1;
                return;
            }
            sendJson(job.response, 502, { error: (error as Error).message });
        }
    }

    private recordRun(job: Job): void {
        this.runCount += 1;
        const key = job.headers["idempotency-key"];
        if (typeof key === "string" && !job.route.idempotent) {
            this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
        }
    }

    private awaitWork(job: Job): Promise<void> {
        if (job.route.workMs === 0) {
            return Promise.resolve();
        }
        const exponentialSample = -Math.log(1 - this.sampleRandom());
        const workMs = job.route.workMs * this.workFactor * Math.min(maxRandomFactor, 0.5 + exponentialSample / 2);
        return new Promise((resolve, reject) => {
            const timer = setTimeout(resolve, workMs);
            job.cancellation.signal.addEventListener("abort", () => {
                clearTimeout(timer);
                reject(new Error("cancelled"));
            }, { once: true });
        });
    }

    private async callService(call: NestedCall, job: Job): Promise<void> {
        const { nestedCallRouting: routing } = this.config;
        if (routing.kind === "node") {
            await this.sendNestedRequest(routing.egress, call, job, job.cancellation.signal);
            return;
        }
        const upstreams = routing.upstreams[call.service]!;
        for (let attempt = 1;; attempt += 1) {
            try {
                const target = upstreams[Math.floor(this.sampleRandom() * upstreams.length)]!;
                const signal = AbortSignal.any([job.cancellation.signal, AbortSignal.timeout(routing.timeoutMs)]);
                await this.sendNestedRequest(target, call, job, signal);
                return;
            }
            catch (error) {
                if (attempt >= routing.maxAttempts || job.cancellation.signal.aborted) {
                    throw error;
                }
            }
        }
    }

    private async sendNestedRequest(target: Address, call: NestedCall, job: Job, signal: AbortSignal): Promise<void> {
        const headers: Record<string, string> = { host: call.service };
        propagatedHeaders.forEach(name => {
            const value = job.headers[name];
            if (typeof value === "string") {
                headers[name] = value;
            }
        });
        const key = job.headers["idempotency-key"];
        if (typeof key === "string" && call.method !== "GET") {
            headers["idempotency-key"] = deriveNestedKey(key, call);
        }
        const answer = await sendRequest(`http://${target.host}:${target.port}${call.path}`, {
            method: call.method as Dispatcher.HttpMethod,
            headers,
            signal,
            dispatcher: this.agent,
            headersTimeout: 0,
        });
        await answer.body.text();
        if (answer.statusCode !== 200) {
            throw new Error(`${call.service} answered ${answer.statusCode}`);
        }
    }
}
