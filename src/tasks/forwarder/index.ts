/** Forwards calls to the nodes of other instances: choice of instance, retries, cancellation. */
import { type Address } from "../../types";
import { type Dispatch } from "../_lib/attempt";
import { type Clock } from "../_lib/clock";
import { type TimerWheel } from "../_lib/timerWheel";
import { type CallLedger } from "../callLedger";
import { type Directory } from "../directory";
import { type NodeMetrics } from "../metrics";
import { ForwardedCall, type ForwardOrder } from "./forwardedCall";

/** Connections to other nodes. */
export interface PeerPools {
    /** Returns the connections to an address. */
    open(address: Address): Dispatch;
    /** Closes the connections to addresses that no instance has any more. */
    closeUnused(addresses: readonly Address[]): void;
}

/** What forwarded calls share. */
export interface ForwarderDependencies {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly directory: Directory;
    readonly ledger: CallLedger;
    readonly metrics: NodeMetrics;
    readonly peers: PeerPools;
    readonly failureDomain: string;
    /** Endpoint of this node. */
    readonly endpoint: string;
    /** Draws a number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Starts forwarded calls. */
export class Forwarder {
    constructor(private readonly dependencies: ForwarderDependencies) {}

    /** Forwards a call; returns what cancels it. */
    forward(order: ForwardOrder): () => void {
        const forwarded = new ForwardedCall(order, this.dependencies);
        forwarded.start();
        return () => forwarded.cancel();
    }
}
