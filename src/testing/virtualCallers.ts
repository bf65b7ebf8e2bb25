/** Callers on a virtual clock: an open loop of actions, each sent again when it fails. */
import { createRandom } from "../_lib/createRandom";
import { type ActionRecord, type LoadClass } from "../standins/types";
import { findHeader } from "../tasks/_lib/headers";
import { createIdSource } from "./createIdSource";
import { CollectingSink, FakeCallRequest, type ReceivedAnswer } from "./fakeExchange";
import { type VirtualClock } from "./virtualClock";

/** What callers send their requests to. */
export interface CallTarget {
    readonly clock: VirtualClock;
    send(endpoint: string, request: FakeCallRequest): void;
}

/** How the callers behave. */
export interface VirtualCallersOptions {
    readonly seed: number;
    readonly classes: readonly LoadClass[];
    /** Endpoints that callers send to, by class. */
    readonly listEntries: (loadClass: LoadClass) => readonly string[];
    readonly durationMs: number;
    readonly attemptTimeoutMs: number;
    readonly attempts: number;
    /** Factor on the rates at a time. */
    readonly computeSurge?: (atMs: number) => number;
    readonly recordStart: () => void;
    readonly record: (record: ActionRecord) => void;
}

interface Action {
    readonly loadClass: LoadClass;
    readonly startMs: number;
    readonly action: string;
    readonly key: string | undefined;
    attempts: number;
}

interface AttemptEnd {
    readonly ok: boolean;
    readonly status: number;
    readonly outcome: string | undefined;
}

const callerLatencyMs = 8;

/** Owns the actions under way. */
export class VirtualCallers {
    private readonly createId: () => string;
    private readonly sampleTarget: () => number;

    constructor(private readonly graph: CallTarget, private readonly options: VirtualCallersOptions) {
        this.createId = createIdSource(graph.clock, options.seed * 17 + 1);
        this.sampleTarget = createRandom(options.seed * 17 + 2);
    }

    /** Schedules the whole load on the graph's clock. */
    start(): void {
        this.options.classes.forEach((loadClass, index) => {
            const sampleRandom = createRandom(this.options.seed * 31 + index);
            this.planNext(loadClass, sampleRandom);
        });
    }

    private planNext(loadClass: LoadClass, sampleRandom: () => number): void {
        const { clock } = this.graph;
        const surge = this.options.computeSurge?.(clock.readMonotonicMs()) ?? 1;
        const waitMs = -Math.log(1 - sampleRandom()) * 1_000 / (loadClass.ratePerSecond * surge);
        clock.schedule(waitMs, () => {
            if (clock.readMonotonicMs() < this.options.durationMs) {
                this.startAction(loadClass);
                this.planNext(loadClass, sampleRandom);
            }
        });
    }

    private startAction(loadClass: LoadClass): void {
        this.options.recordStart();
        const key = loadClass.keyed ? this.createId() : undefined;
        const startMs = this.graph.clock.readMonotonicMs();
        this.sendAttempt({ loadClass, startMs, action: this.createId(), key, attempts: 0 });
    }

    private sendAttempt(action: Action): void {
        const { clock } = this.graph;
        action.attempts += 1;
        let ended = false;
        const end = (result: AttemptEnd): void => {
            if (!ended) {
                ended = true;
                this.endAttempt(action, result);
            }
        };
        const sink = new CollectingSink(answer => clock.schedule(callerLatencyMs, () => end(readEnd(answer))));
        const request = createRequest(action, sink);
        const entries = this.options.listEntries(action.loadClass);
        const entry = entries[Math.floor(this.sampleTarget() * entries.length)]!;
        clock.schedule(callerLatencyMs, () => this.graph.send(entry, request));
        clock.schedule(this.options.attemptTimeoutMs, () => {
            if (!ended) {
                end({ ok: false, status: 0, outcome: undefined });
                clock.schedule(callerLatencyMs, () => request.close());
            }
        });
    }

    private endAttempt(action: Action, end: AttemptEnd): void {
        if (!end.ok && action.attempts < this.options.attempts) {
            this.sendAttempt(action);
            return;
        }
        const { loadClass, startMs, attempts, key, action: id } = action;
        const endMs = this.graph.clock.readMonotonicMs();
        this.options.record({ className: loadClass.name, startMs, endMs, attempts, key, action: id, ...end });
    }
}

const createRequest = (action: Action, sink: CollectingSink): FakeCallRequest => {
    const headers = ["pomelovalve-action", action.action];
    if (action.key !== undefined) {
        headers.push("idempotency-key", action.key);
    }
    return new FakeCallRequest(action.loadClass.method, action.loadClass.path, headers, undefined, sink);
};

const readEnd = (answer: ReceivedAnswer): AttemptEnd => ({
    ok: answer.whole && answer.head?.status === 200,
    status: answer.head?.status ?? 0,
    outcome: answer.head && findHeader(answer.head.rawHeaders, "pomelovalve-outcome"),
});
