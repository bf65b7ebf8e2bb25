/** Types shared by the modules of the relay. */
import { type KeyAgeBounds } from "../decisions/judgeKey";
import { type QuotaBounds } from "../decisions/splitQuota";
import { type AnswerHead, type AnswerSink } from "../tasks/_lib/answerSink";
import { type FailureCause } from "../tasks/_lib/attempt";
import { type RequestBody } from "../tasks/_lib/readBody";
import { type Address } from "../types";

/** Names of the headers that callers, nodes and upstreams exchange, in lower case, and the request id separator. */
export interface HeaderNames {
    /** Id of the request; the upstream repeats it on the answer. */
    readonly requestId: string;
    /** Time for which the sender still waits for the answer, in milliseconds. */
    readonly deadline: string;
    /** Service of the instance whose node received the request first. */
    readonly callerService: string;
    /** Id of the target upstream; any other upstream refuses the request. */
    readonly target: string;
    /** Present on answers to requests that the upstream did not run. */
    readonly notRun: string;
    /** On answers of an upstream: the requests a second that it takes from all nodes together, for as long as it says so. */
    readonly rateLimit: string;
    /** Present on answers of an upstream that is leaving. */
    readonly upstreamLeaving: string;
    /** Header with the caller's key; not forwarded where requests carry keys. */
    readonly authorization: string;
    /** Scheme of that header for keys. */
    readonly keyScheme: string;
    /** Name of the organisation that holds the caller's key, as upstreams receive it. */
    readonly organisation: string;
    /** Separates the id of a request from the suffix that an upstream appends for each nested call. */
    readonly callSeparator: string;
}

/** Settings of a relay node. */
export interface RelaySettings {
    readonly node: string;
    readonly host: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Address of the listener for local callers and for the nested calls of the local upstream. */
    readonly entry: Address;
    /** Address of the listener for requests from other nodes; the port is the same on all nodes. */
    readonly peers: Address;
    /** Address of the listener for readiness and metrics. */
    readonly admin: Address;
    readonly upstream: Address;
    readonly platform: Address;
    /** Path at which the platform checks readiness. */
    readonly readinessPath: string;
    /** Whether the whole fleet starts for the first time; false for a node that restarts. */
    readonly isFirstStart: boolean;
    /** Retries allowed for each request to a service, over all nodes. */
    readonly retryRatio: number;
    /** Retries allowed in a window in addition to the ratio, over all nodes. */
    readonly retrySlack: number;
    /** Window of the retry budget, in milliseconds. */
    readonly retryWindowMs: number;
    /** Bounds on the requests of organisations within their quotas. */
    readonly quotaBounds: QuotaBounds;
    /** Bounds on the age of the routing table by which keys are judged. */
    readonly keyBounds: KeyAgeBounds;
    /** Maximum time from the stop signal to the end of the process, in milliseconds. */
    readonly stopGraceMs: number;
    /** Time from the stop signal until readiness has shown callers that the node is leaving, in milliseconds. */
    readonly leaveAfterMs: number;
    readonly logLevel: string;
}

/** A request to one upstream, as the sending node and the node of the upstream handle it. */
export interface HopRequest {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** Headers to forward, without hop-by-hop headers. */
    readonly rawHeaders: readonly string[];
    readonly body: RequestBody;
    readonly route: string;
    readonly callerService: string;
    /** Id of the upstream that is to run the request. */
    readonly upstreamId: string;
    readonly idempotent: boolean;
    /** Whether an upstream sent the request while it served another one. */
    readonly nested: boolean;
    /** Whether the request or one of its ancestors has been sent to an upstream before. */
    readonly isRetry: boolean;
    /** Rank of the caller's request at the root of the call graph, less for nearly complete trees; 0 goes first. */
    readonly rank: number;
    readonly targetLatencyMs: number;
    /** Monotonic time after which the sender no longer waits for the answer, in milliseconds. */
    readonly deadlineAtMs: number;
}

/** Why a request was not run. */
export type NotRunReason =
    /** The expected wait for a slot was too long. */
    | "full"
    /** The node or its upstream is leaving. */
    | "leaving"
    /** The address belongs to another upstream now. */
    | "moved"
    /** No connection to the node could be opened. */
    | "unreachable"
    /** The node could not open a connection to its upstream. */
    | "down"
    /** The request was cancelled or too close to its deadline before it was sent to the upstream. */
    | "expired"
    /** The answer of the upstream says that it did not run the request. */
    | "rejected"
    /** The request is quarantined because it has crashed upstreams. */
    | "quarantined";

/** Result of one hop: an answer, or whether the upstream may have run the request. */
export type HopResult =
    | {
        readonly kind: "answered";
        readonly head: AnswerHead;
        /** The complete body, or undefined if it was written to the sink of `openStream`. */
        readonly body: Buffer | undefined;
        /** Whether this is a server error that a refused nested call of the upstream has probably caused. */
        readonly nestedCallRefused: boolean;
    }
    | { readonly kind: "not-run"; readonly reason: NotRunReason; }
    | { readonly kind: "may-have-run"; readonly cause: FailureCause | "foreign-answer"; };

/** Receives the answer and the result of a hop. */
export interface HopHandler {
    /** Called when an answer is too long to be buffered; returns the sink that receives it. */
    openStream(head: AnswerHead): AnswerSink;
    /** Called once with the result and with the load report of the upstream's node, if it sent one. */
    settle(result: HopResult, report: LoadReport | undefined): void;
}

/** Load of an upstream, which its node reports with the result of each request. */
export interface LoadReport {
    /**
     * Congestion from 0 (almost no queue) to 1 (requests are refused): the highest of the congestion by the current
     * queue, by the request's own wait for a slot and by its nested calls.
     */
    readonly congestion: number;
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    /** Moving mean of the service times of answered requests, in milliseconds; 0 before the first one. */
    readonly meanServiceMs: number;
    readonly leaving: boolean;
    /** Share of the slot time used by direct requests, 0 to 1. */
    readonly directShare: number;
    /** Number of nested calls that the request has caused, at all depths. */
    readonly nestedCalls: number;
    /** Version of the routing table that the node applies, 0 if it has none. */
    readonly version: number;
    /** Longest time for which that table may have been outdated, in milliseconds; Infinity if unknown. */
    readonly tableAgeMs: number;
}
