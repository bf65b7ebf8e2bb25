/** Fake upstreams that call each other directly, with immediate retries at every hop: a baseline without nodes. */
import { createRandom } from "../_lib/createRandom";
import { type Policy } from "../policy/types";
import { type UpstreamRoute } from "../standins/types";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { FakeUpstream, type UpstreamRun } from "./fakeUpstream";
import { type VirtualClock } from "./virtualClock";

export interface VirtualBaselineOptions {
    readonly clock: VirtualClock;
    readonly policy: Policy;
    readonly upstreamRoutes: Readonly<Record<string, readonly UpstreamRoute[]>>;
    readonly seed: number;
    readonly recordRun: (run: UpstreamRun) => void;
    readonly recordRetry: () => void;
    /** Maximum number of attempts of each nested call at each hop, including the first. */
    readonly maxAttempts: number;
    readonly attemptTimeoutMs: number;
    /** Queue length above which an upstream sheds requests, or undefined for an unlimited queue. */
    readonly maxQueued: number | undefined;
}

const hopLatencyMs = 1;

/** A call graph of upstreams without nodes; each attempt of a nested call goes to a random endpoint. */
export class VirtualBaseline {
    readonly clock: VirtualClock;
    private readonly upstreams = new Map<string, FakeUpstream>();
    private readonly sampleRandom: () => number;

    constructor(private readonly options: VirtualBaselineOptions) {
        this.clock = options.clock;
        this.sampleRandom = createRandom(options.seed * 5_000);
        const endpoints = Object.entries(options.policy.services).flatMap(([service, policy]) =>
            policy.endpoints.map(endpoint => ({ service, slots: policy.slots, name: endpoint.name }))
        );
        endpoints.forEach(({ service, slots, name }, index) => {
            const upstream = new FakeUpstream(options.clock, {
                endpoint: name,
                slots,
                seed: options.seed * 1_000 + index,
                routes: options.upstreamRoutes[service] ?? [],
                sendNestedRequest: (targetService, request) => this.sendWithRetries(targetService, request, 1),
                recordRun: options.recordRun,
            });
            upstream.updateShedding(options.maxQueued ?? Infinity);
            this.upstreams.set(name, upstream);
        });
    }

    getUpstream(name: string): FakeUpstream {
        return this.upstreams.get(name)!;
    }

    /** Sends a direct request to an upstream. */
    send(endpoint: string, request: FakeCallRequest): void {
        this.getUpstream(endpoint).handle(request);
    }

    private sendWithRetries(service: string, request: FakeCallRequest, attempt: number): void {
        const { clock, options } = this;
        let isEnded = false;
        const end = (answer: ReceivedAnswer): void => {
            if (isEnded) {
                return;
            }
            isEnded = true;
            if (answer.head?.status !== 200 && attempt < options.maxAttempts) {
                options.recordRetry();
                this.sendWithRetries(service, request, attempt + 1);
                return;
            }
            forwardAnswer(request, answer);
        };
        const sink = new CollectingSink(answer => clock.schedule(hopLatencyMs, () => end(answer)));
        const attemptRequest = new FakeCallRequest(request.method, request.url, request.rawHeaders, undefined, sink);
        const { endpoints } = options.policy.services[service]!;
        const endpoint = endpoints[Math.floor(this.sampleRandom() * endpoints.length)]!.name;
        request.onEarlyClose(() => {
            isEnded = true;
            clock.schedule(hopLatencyMs, () => attemptRequest.close());
        });
        clock.schedule(hopLatencyMs, () => this.getUpstream(endpoint).handle(attemptRequest));
        clock.schedule(options.attemptTimeoutMs, () => {
            if (!isEnded) {
                clock.schedule(hopLatencyMs, () => attemptRequest.close());
                end({ head: { status: 504, rawHeaders: [] }, body: "", isComplete: true });
            }
        });
    }
}

const forwardAnswer = (request: FakeCallRequest, answer: ReceivedAnswer): void => {
    request.sink.start(answer.head ?? { status: 502, rawHeaders: [] });
    request.sink.write(Buffer.from(answer.body));
    request.sink.end();
};
