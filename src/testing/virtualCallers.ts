/** Open-loop callers on a virtual clock; a failed attempt is retried at once, up to `maxAttempts` attempts. */
import { createRandom } from "../_lib/createRandom";
import { type ActionRecord, type LoadClass } from "../standins/types";
import { findHeader } from "../tasks/_lib/headers";
import { createIdSource } from "./createIdSource";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { type VirtualClock } from "./virtualClock";

/** A call graph that callers send requests to. */
export interface VirtualCallGraph {
    readonly clock: VirtualClock;
    send(endpoint: string, request: FakeCallRequest): void;
}

export interface VirtualCallersOptions {
    readonly seed: number;
    readonly classes: readonly LoadClass[];
    /** Lists the endpoints for a class; each attempt goes to a random one of them. */
    readonly listEndpoints: (loadClass: LoadClass) => readonly string[];
    readonly durationMs: number;
    readonly attemptTimeoutMs: number;
    /** Maximum number of attempts of each action, including the first. */
    readonly maxAttempts: number;
    /** Computes the factor that multiplies the rates at a virtual time in milliseconds; 1 by default. */
    readonly computeRateFactor?: (atMs: number) => number;
    /** Called at the start of each action. */
    readonly recordStart: () => void;
    /** Called at the end of each action. */
    readonly recordAction: (record: ActionRecord) => void;
}

interface Action {
    readonly loadClass: LoadClass;
    readonly startMs: number;
    readonly id: string;
    readonly key: string | undefined;
    attemptCount: number;
}

interface AttemptResult {
    readonly ok: boolean;
    readonly status: number;
    readonly outcome: string | undefined;
}

const oneWayLatencyMs = 8;

/** Starts actions with exponentially distributed gaps between them, and sends their attempts. */
export class VirtualCallers {
    private readonly createId: () => string;
    private readonly sampleEndpoint: () => number;

    constructor(private readonly graph: VirtualCallGraph, private readonly options: VirtualCallersOptions) {
        this.createId = createIdSource(graph.clock, options.seed * 17 + 1);
        this.sampleEndpoint = createRandom(options.seed * 17 + 2);
    }

    /** Schedules the first action of each class; each action schedules the next until `durationMs`. */
    start(): void {
        this.options.classes.forEach((loadClass, index) => {
            const sampleRandom = createRandom(this.options.seed * 31 + index);
            this.scheduleNext(loadClass, sampleRandom);
        });
    }

    private scheduleNext(loadClass: LoadClass, sampleRandom: () => number): void {
        const { clock } = this.graph;
        const rateFactor = this.options.computeRateFactor?.(clock.readMonotonicMs()) ?? 1;
        const waitMs = -Math.log(1 - sampleRandom()) * 1_000 / (loadClass.ratePerSecond * rateFactor);
        clock.schedule(waitMs, () => {
            if (clock.readMonotonicMs() < this.options.durationMs) {
                this.startAction(loadClass);
                this.scheduleNext(loadClass, sampleRandom);
            }
        });
    }

    private startAction(loadClass: LoadClass): void {
        this.options.recordStart();
        const key = loadClass.keyed ? this.createId() : undefined;
        const startMs = this.graph.clock.readMonotonicMs();
        this.sendAttempt({ loadClass, startMs, id: this.createId(), key, attemptCount: 0 });
    }

    private sendAttempt(action: Action): void {
        const { clock } = this.graph;
        action.attemptCount += 1;
        let isEnded = false;
        const end = (result: AttemptResult): void => {
            if (!isEnded) {
                isEnded = true;
                this.endAttempt(action, result);
            }
        };
        const sink = new CollectingSink(answer => clock.schedule(oneWayLatencyMs, () => end(readResult(answer))));
        const request = createRequest(action, sink);
        const endpoints = this.options.listEndpoints(action.loadClass);
        const endpoint = endpoints[Math.floor(this.sampleEndpoint() * endpoints.length)]!;
        clock.schedule(oneWayLatencyMs, () => this.graph.send(endpoint, request));
        clock.schedule(this.options.attemptTimeoutMs, () => {
            if (!isEnded) {
                end({ ok: false, status: 0, outcome: undefined });
                clock.schedule(oneWayLatencyMs, () => request.close());
            }
        });
    }

    private endAttempt(action: Action, result: AttemptResult): void {
        if (!result.ok && action.attemptCount < this.options.maxAttempts) {
            this.sendAttempt(action);
            return;
        }
        const { loadClass, startMs, attemptCount: attempts, key, id } = action;
        const endMs = this.graph.clock.readMonotonicMs();
        this.options.recordAction({ className: loadClass.name, startMs, endMs, attempts, key, action: id, ...result });
    }
}

const createRequest = (action: Action, sink: CollectingSink): FakeCallRequest => {
    const headers = ["pomelovalve-action", action.id];
    if (action.key !== undefined) {
        headers.push("idempotency-key", action.key);
    }
    return new FakeCallRequest(action.loadClass.method, action.loadClass.path, headers, undefined, sink);
};

const readResult = (answer: ReceivedAnswer): AttemptResult => ({
    ok: answer.isComplete && answer.head?.status === 200,
    status: answer.head?.status ?? 0,
    outcome: answer.head && findHeader(answer.head.rawHeaders, "pomelovalve-outcome"),
});
