/** Fake upstreams that call each other directly, with plain retries at every hop: what there is without nodes. */
import { createRandom } from "../_lib/createRandom";
import { type Policy } from "../policy/types";
import { type UpstreamRoute } from "../standins/types";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { FakeUpstream, type UpstreamRun } from "./fakeUpstream";
import { type VirtualClock } from "./virtualClock";

/** What a baseline is made of. */
export interface VirtualBaselineOptions {
    readonly clock: VirtualClock;
    readonly policy: Policy;
    readonly upstreamRoutes: Readonly<Record<string, readonly UpstreamRoute[]>>;
    readonly seed: number;
    readonly recordRun: (run: UpstreamRun) => void;
    readonly recordRetry: () => void;
    /** Tries of each call at each hop. */
    readonly maxAttempts: number;
    readonly attemptTimeoutMs: number;
    /** Requests that may wait at an upstream before it sheds; undefined for no bound. */
    readonly maxQueued: number | undefined;
}

const hopLatencyMs = 1;

/** Owns the upstreams of a graph without nodes. */
export class VirtualBaseline {
    readonly clock: VirtualClock;
    private readonly upstreams = new Map<string, FakeUpstream>();
    private readonly sampleRandom: () => number;

    constructor(private readonly options: VirtualBaselineOptions) {
        this.clock = options.clock;
        this.sampleRandom = createRandom(options.seed * 5_000);
        const all = Object.entries(options.policy.services).flatMap(([service, policy]) =>
            policy.endpoints.map(endpoint => ({ service, slots: policy.slots, name: endpoint.name }))
        );
        all.forEach(({ service, slots, name }, index) => {
            const upstream = new FakeUpstream(options.clock, {
                endpoint: name,
                slots,
                seed: options.seed * 1_000 + index,
                routes: options.upstreamRoutes[service] ?? [],
                sendNestedRequest: (target, request) => this.callWithTries(target, request, 1),
                recordRun: options.recordRun,
            });
            upstream.updateShedding(options.maxQueued ?? Infinity);
            this.upstreams.set(name, upstream);
        });
    }

    /** Returns the upstream of an endpoint. */
    getUpstream(name: string): FakeUpstream {
        return this.upstreams.get(name)!;
    }

    /** Sends a request from outside straight to an upstream. */
    send(endpoint: string, request: FakeCallRequest): void {
        this.getUpstream(endpoint).handle(request);
    }

    private callWithTries(service: string, request: FakeCallRequest, tryNumber: number): void {
        const { clock, options } = this;
        let ended = false;
        const end = (answer: ReceivedAnswer): void => {
            if (ended) {
                return;
            }
            ended = true;
            if (answer.head?.status !== 200 && tryNumber < options.maxAttempts) {
                options.recordRetry();
                this.callWithTries(service, request, tryNumber + 1);
                return;
            }
            forwardAnswer(request, answer);
        };
        const sink = new CollectingSink(answer => clock.schedule(hopLatencyMs, () => end(answer)));
        const child = new FakeCallRequest(request.method, request.url, request.rawHeaders, undefined, sink);
        const { endpoints } = options.policy.services[service]!;
        const endpoint = endpoints[Math.floor(this.sampleRandom() * endpoints.length)]!.name;
        request.onEarlyClose(() => {
            ended = true;
            clock.schedule(hopLatencyMs, () => child.close());
        });
        clock.schedule(hopLatencyMs, () => this.getUpstream(endpoint).handle(child));
        clock.schedule(options.attemptTimeoutMs, () => {
            if (!ended) {
                clock.schedule(hopLatencyMs, () => child.close());
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
