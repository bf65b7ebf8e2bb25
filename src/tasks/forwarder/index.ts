/** Forwards calls to the nodes of other instances: choice of instance, retries, cancellation. */
import { Pool } from "undici";
import { peerConnections, upstreamKeepAliveMs } from "../../constants";
import { type Address } from "../../types";
import { type Clock } from "../_lib/clock";
import { type TimerWheel } from "../_lib/timerWheel";
import { type Directory } from "../directory";
import { type Ledger } from "../ledger";
import { type NodeMetrics } from "../metrics";
import { ForwardedCall, type ForwardOrder } from "./forwardedCall";

/** What forwarded calls share. */
export interface ForwarderParts {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly directory: Directory;
    readonly ledger: Ledger;
    readonly metrics: NodeMetrics;
    readonly failureDomain: string;
    /** Draws a number in [0, 1). */
    readonly sampleRandom: () => number;
}

/** Owns the connections to other nodes. */
export class Forwarder {
    private readonly pools = new Map<string, Pool>();

    constructor(private readonly parts: ForwarderParts) {}

    /** Forwards a call; returns what cancels it. */
    forward(order: ForwardOrder): () => void {
        const forwarded = new ForwardedCall(order, this.parts, address => this.openPool(address));
        forwarded.start();
        return () => forwarded.cancel();
    }

    /** Closes the connections to addresses that no instance has any more. */
    closeUnusedPools(addresses: readonly Address[]): void {
        const kept = new Set(addresses.map(address => `${address.host}:${address.port}`));
        [...this.pools].filter(([key]) => !kept.has(key)).forEach(([key, pool]) => {
            this.pools.delete(key);
            void pool.close();
        });
    }

    /** Closes all connections once their calls have ended. */
    async stop(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.close()));
    }

    private openPool(address: Address): Pool {
        const key = `${address.host}:${address.port}`;
        const existing = this.pools.get(key);
        if (existing) {
            return existing;
        }
        const pool = new Pool(`http://${key}`, {
            connections: peerConnections,
            pipelining: 1,
            keepAliveTimeout: upstreamKeepAliveMs,
            connect: { timeout: 1_000 },
        });
        this.pools.set(key, pool);
        return pool;
    }
}
