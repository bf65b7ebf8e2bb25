/** Receives requests of callers and of the local upstream and answers each of them. */
import { type CallRequest } from "../../tasks/_lib/callRequest";
import { relayReplacedRequestHeaders } from "../../tasks/_lib/headers";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type AnswerTimes } from "../_lib/answerTimes";
import { type RetryBudgets } from "../_lib/retryBudgets";
import { type ActiveRequests } from "../activeRequests";
import { type EventLog } from "../log";
import { type RelayMetrics } from "../metrics";
import { type ActiveRouting } from "../routing";
import { type Shedding } from "../shedding";
import { type HeaderNames, type HopHandler, type HopRequest } from "../types";
import { type UpstreamDirectory } from "../upstreamDirectory";
import { EntryCall } from "./entryCall";

/** Sends a request to one upstream; returns a function that cancels it. */
export type SendHop = (
    hopRequest: HopRequest,
    handler: HopHandler,
) => (cause: "timeout" | "cancelled" | "connection") => void;

/** Components with which the entry admits, sends, logs and counts requests. */
export interface EntryDependencies {
    readonly names: HeaderNames;
    /** Returns the service of this instance, which is the caller service of the requests that it sends. */
    readonly readService: () => string;
    readonly routing: ActiveRouting;
    readonly directory: UpstreamDirectory;
    readonly shedding: Shedding;
    readonly activeRequests: ActiveRequests;
    readonly retryBudgets: RetryBudgets;
    readonly answerTimes: AnswerTimes;
    readonly wheel: TimerWheel;
    readonly log: EventLog;
    readonly metrics: RelayMetrics;
    readonly sendHop: SendHop;
    readonly readNowMs: () => number;
    /** Returns how long a request read now may have waited unread because of a process pause, in milliseconds. */
    readonly readStaleMs: () => number;
    /** Computes the time that a direct request which starts now may take before the process ends, in milliseconds. */
    readonly computeTimeLeftMs: () => number;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Dependencies of the entry, with the headers to replace in each request. */
export interface EntryCallDependencies extends EntryDependencies {
    /** Headers of the incoming request that the next hop replaces with its own values. */
    readonly replacedHeaders: ReadonlySet<string>;
}

/** Handles requests and counts those in progress. */
export class Entry {
    private inFlight = 0;

    private readonly dependencies: EntryCallDependencies;

    constructor(dependencies: EntryDependencies) {
        const { deadline, target, callerService } = dependencies.names;
        const ownHeaders = [deadline, target, callerService];
        this.dependencies = {
            ...dependencies,
            replacedHeaders: new Set([...relayReplacedRequestHeaders, ...ownHeaders]),
        };
    }

    /** Number of requests that have not been answered yet. */
    get pending(): number {
        return this.inFlight;
    }

    handle(request: CallRequest): void {
        this.inFlight += 1;
        const call = new EntryCall(request, this.dependencies, () => {
            this.inFlight -= 1;
        });
        call.start();
    }
}
