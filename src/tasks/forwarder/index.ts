/** Forwards calls to other nodes: chooses an instance for each attempt, retries and cancels. */
import { type Address } from "../../types";
import { type Dispatch } from "../_lib/attempt";
import { type Clock } from "../_lib/clock";
import { type TimerWheel } from "../_lib/timerWheel";
import { type CallLedger } from "../callLedger";
import { type Directory } from "../directory";
import { type NodeMetrics } from "../metrics";
import { ForwardedCall, type ForwardRequest } from "./forwardedCall";

/** Connection pools to other nodes. */
export interface PeerPools {
    /** Returns the connection pool to an address; creates it on first use. */
    open(address: Address): Dispatch;
    /** Closes the connection pools to all addresses that are not in the given list. */
    closeUnused(addresses: readonly Address[]): void;
}

/** Tasks and settings of the node that all forwarded calls share. */
export interface ForwarderDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly directory: Directory;
    readonly ledger: CallLedger;
    readonly metrics: NodeMetrics;
    readonly peerPools: PeerPools;
    /** Failure domain of this node, whose instances are preferred. */
    readonly failureDomain: string;
    /** Endpoint of this node. */
    readonly endpoint: string;
    /** Returns a random number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Starts a `ForwardedCall` for each call. */
export class Forwarder {
    constructor(private readonly dependencies: ForwarderDependencies) {}

    /** Starts to forward a call; returns a function that cancels it. */
    forward(request: ForwardRequest): () => void {
        const forwardedCall = new ForwardedCall(request, this.dependencies);
        forwardedCall.start();
        return () => forwardedCall.cancel();
    }
}
