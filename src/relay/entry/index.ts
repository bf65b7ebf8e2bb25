/** Takes requests of callers and of the local upstream, and sees each to its final answer. */
import { type CallRequest } from "../../tasks/_lib/callRequest";
import { relayReplacedRequestHeaders } from "../../tasks/_lib/headers";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type AnswerTimes } from "../_lib/answerTimes";
import { type RetryBudgets } from "../_lib/retryBudgets";
import { type ActiveRequests } from "../activeRequests";
import { type DecisionLog } from "../log";
import { type RelayMetrics } from "../metrics";
import { type RoutingInForce } from "../routing";
import { type Shedding } from "../shedding";
import { type HeaderNames, type HopHandler, type HopRequest } from "../types";
import { type UpstreamDirectory } from "../upstreamDirectory";
import { EntryCall } from "./entryCall";

/** Sends a request to one upstream; returns what gives it up. */
export type SendHop = (
    hopRequest: HopRequest,
    handler: HopHandler,
) => (cause: "timeout" | "cancelled" | "connection") => void;

/** What the entry works with. */
export interface EntryDependencies {
    readonly names: HeaderNames;
    /** Service of the instance on which requests begin. */
    readonly readService: () => string;
    readonly routing: RoutingInForce;
    readonly directory: UpstreamDirectory;
    readonly shedding: Shedding;
    readonly activeRequests: ActiveRequests;
    readonly budgets: RetryBudgets;
    readonly answerTimes: AnswerTimes;
    readonly wheel: TimerWheel;
    readonly log: DecisionLog;
    readonly metrics: RelayMetrics;
    readonly sendHop: SendHop;
    readonly readNowMs: () => number;
    /** Time by which a request that is read now may be older than it says, in milliseconds. */
    readonly readStaleMs: () => number;
    /** Time that a request of a caller which begins now may take before the process ends, in milliseconds. */
    readonly computeTimeLeftMs: () => number;
    /** Draws a number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** What one request works with. */
export interface EntryCallDependencies extends EntryDependencies {
    /** Headers that the next hop sets itself, whatever the sender has put into them. */
    readonly headersSetAnew: ReadonlySet<string>;
}

/** Owns the requests that have no final answer yet. */
export class Entry {
    private inFlight = 0;

    private readonly dependencies: EntryCallDependencies;

    constructor(dependencies: EntryDependencies) {
        const { deadline, target, callerService } = dependencies.names;
        const own = [deadline, target, callerService];
        this.dependencies = { ...dependencies, headersSetAnew: new Set([...relayReplacedRequestHeaders, ...own]) };
    }

    /** Number of requests without their final answer. */
    get pending(): number {
        return this.inFlight;
    }

    /** Handles a request. */
    handle(request: CallRequest): void {
        this.inFlight += 1;
        const call = new EntryCall(request, this.dependencies, () => {
            this.inFlight -= 1;
        });
        call.start();
    }
}
