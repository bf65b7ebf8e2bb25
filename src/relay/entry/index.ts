/** Entry of a node: receives and answers the requests of callers and of the local upstream. */
import { type CallRequest } from "../../tasks/_lib/callRequest";
import { relayReplacedRequestHeaders } from "../../tasks/_lib/headers";
import { type TimerWheel } from "../../tasks/_lib/timerWheel";
import { type AnswerTimes } from "../_lib/answerTimes";
import { type RetryBudgets } from "../_lib/retryBudgets";
import { type ActiveRequests } from "../activeRequests";
import { type EventLog } from "../log";
import { type RelayMetrics } from "../metrics";
import { type Organisations } from "../organisations";
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

/** Components that the entry uses to admit, send, log and count requests. */
export interface EntryDependencies {
    readonly headerNames: HeaderNames;
    /** Returns the service of this instance, which upstreams receive as the caller service. */
    readonly readService: () => string;
    readonly routing: ActiveRouting;
    readonly organisations: Organisations;
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
    /** Computes how long a direct request that starts now may take before the process closes, in milliseconds. */
    readonly computeTimeLeftMs: () => number;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Dependencies of the entry, with the headers that it removes from each request. */
export interface EntryCallDependencies extends EntryDependencies {
    /** Lower-case names of request headers that are not forwarded. The node sets new values for most of them. */
    readonly replacedHeaders: ReadonlySet<string>;
    /** These names with that of the header with the caller's key. */
    readonly replacedHeadersAndKey: ReadonlySet<string>;
}

/** Starts an `EntryCall` for each request, and keeps those without an answer. */
export class Entry {
    private readonly calls = new Set<EntryCall>();
    private unsentAnswers = 0;
    private readonly dependencies: EntryCallDependencies;

    constructor(dependencies: EntryDependencies) {
        const { deadline, target, callerService, organisation, authorization } = dependencies.headerNames;
        const replacedHeaders = [...relayReplacedRequestHeaders, deadline, target, callerService, organisation];
        this.dependencies = {
            ...dependencies,
            replacedHeaders: new Set(replacedHeaders),
            replacedHeadersAndKey: new Set([...replacedHeaders, authorization]),
        };
    }

    /** Number of requests whose answer has not been sent yet; callers may read it slowly. */
    get pending(): number {
        return Math.max(this.calls.size, this.unsentAnswers);
    }

    handle(request: CallRequest): void {
        if (request.isBehindClose) {
            this.dependencies.log.write("request-unread", { path: request.url });
            return;
        }
        this.unsentAnswers += 1;
        request.onEnd(() => {
            this.unsentAnswers -= 1;
        });
        const call = new EntryCall(request, this.dependencies, () => this.calls.delete(call));
        this.calls.add(call);
        call.start();
    }

    /** Answers all requests that wait for an answer, since the process ends before theirs might come. */
    expirePending(): void {
        [...this.calls].forEach(call => call.expire());
    }
}
