/** Types that the parts of the relay share. */
import { type AnswerHead, type AnswerSink } from "../tasks/_lib/answerSink";
import { type FailureCause } from "../tasks/_lib/attempt";
import { type RequestBody } from "../tasks/_lib/readBody";
import { type Address } from "../types";

/** Names by which callers, nodes and upstreams understand each other; headers are in lower case. */
export interface HeaderNames {
    /** Names a request; upstreams repeat it on the answer. */
    readonly requestId: string;
    /** Milliseconds that the sender goes on waiting. */
    readonly deadline: string;
    /** Service on whose instance the request began. */
    readonly callerService: string;
    /** Id of the upstream that is meant; any other one refuses. */
    readonly target: string;
    /** Present on answers that say that the request was not run. */
    readonly notRun: string;
    /** Stands between the id of a request and what an upstream appends to it for the calls that it makes. */
    readonly callSeparator: string;
}

/** Settings of a relay node. */
export interface RelaySettings {
    readonly node: string;
    readonly host: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Listener for local callers and for the calls of the local upstream. */
    readonly entry: Address;
    /** Listener for calls from other nodes; the port is the same on all nodes. */
    readonly peers: Address;
    /** Listener for readiness and metrics. */
    readonly admin: Address;
    readonly upstream: Address;
    readonly platform: Address;
    /** Path that the platform asks for readiness. */
    readonly readinessPath: string;
    /** Repeats that are allowed for each request to a service, over all nodes. */
    readonly retryRatio: number;
    /** Repeats that are allowed beyond the ratio in a window, over all nodes. */
    readonly retrySlack: number;
    /** Window of the repeat allowance, in milliseconds. */
    readonly retryWindowMs: number;
    /** Longest time from the stop signal to the end of the process, in milliseconds. */
    readonly stopGraceMs: number;
    /** Time that callers take to learn by readiness that the node is leaving, in milliseconds. */
    readonly leaveAfterMs: number;
    readonly logLevel: string;
}

/** A request on its way to one upstream. */
export interface HopRequest {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** Headers to pass on, without hop-by-hop ones. */
    readonly rawHeaders: readonly string[];
    readonly body: RequestBody;
    readonly route: string;
    readonly callerService: string;
    /** Id of the upstream that is to run the request. */
    readonly upstreamId: string;
    readonly idempotent: boolean;
    /** Whether an upstream made the request while it served another one. */
    readonly nested: boolean;
    /** Whether the request, or one that it is a call of, has been sent to an upstream before. */
    readonly isRetry: boolean;
    /** Rank of the caller's request that it is done for; 0 is the most important. */
    readonly rank: number;
    readonly targetLatencyMs: number;
    /** Steady time at which nobody waits for the answer any more, in milliseconds. */
    readonly deadlineAtMs: number;
}

/** Why a request was not run. */
export type NotRunReason =
    /** No slot would come free in time. */
    | "full"
    /** The node or its upstream is leaving. */
    | "leaving"
    /** Another upstream has the address. */
    | "moved"
    /** No connection to the node came about. */
    | "unreachable"
    /** No connection from the node to its upstream came about. */
    | "down"
    /** The time was over before the request was sent to an upstream. */
    | "expired"
    /** The upstream itself said so. */
    | "rejected"
    /** Upstreams have died of this request. */
    | "quarantined";

/** What became of a request at one upstream. */
export type HopResult =
    | {
        readonly kind: "answered";
        readonly head: AnswerHead;
        /** The whole body, or undefined when the answer went to the stream of the handler. */
        readonly body: Buffer | undefined;
        /** Whether the upstream probably failed since one of its own calls was refused. */
        readonly nestedCallRefused: boolean;
    }
    | { readonly kind: "not-run"; readonly reason: NotRunReason; }
    | { readonly kind: "may-have-run"; readonly cause: FailureCause | "foreign-answer"; };

/** Whoever sent a request on its hop, and waits for the result. */
export interface HopHandler {
    /** Asked when an answer is too long to be kept whole; returns where it goes. */
    openStream(head: AnswerHead): AnswerSink;
    /** Told once, with what the node of the upstream says of it, if it has said anything. */
    settle(result: HopResult, report: LoadReport | undefined): void;
}

/** What a node says of its upstream on each answer to another node. */
export interface LoadReport {
    /** 0: no queue worth mentioning, 1: requests have to be refused; includes what the route's own calls meet. */
    readonly congestion: number;
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    /** Mean time that a request holds a slot, in milliseconds. */
    readonly meanServiceMs: number;
    readonly leaving: boolean;
    /** Share of the slot time that requests of callers take, 0 to 1. */
    readonly directShare: number;
    /** Calls that the request has led to, over all levels below. */
    readonly nestedCalls: number;
    /** Version of the routing table that the node has in force, 0 for none. */
    readonly version: number;
}
