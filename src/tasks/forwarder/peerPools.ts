/** HTTP connection pools to other nodes. */
import { Pool } from "undici";
import { maxConnectionsPerOrigin, poolKeepAliveMs } from "../../constants";
import { type Address } from "../../types";
import { type PeerPools } from "./index";

const createPoolKey = (address: Address): string => `${address.host}:${address.port}`;

/** Keeps one pool of keep-alive HTTP connections per address. */
export class HttpPeerPools implements PeerPools {
    private readonly pools = new Map<string, Pool>();

    open(address: Address): Pool {
        const key = createPoolKey(address);
        const existing = this.pools.get(key);
        if (existing) {
            return existing;
        }
        const pool = new Pool(`http://${key}`, {
            connections: maxConnectionsPerOrigin,
            pipelining: 1,
            keepAliveTimeout: poolKeepAliveMs,
            connect: { timeout: 1_000 },
        });
        this.pools.set(key, pool);
        return pool;
    }

    closeUnused(addresses: readonly Address[]): void {
        const keptKeys = new Set(addresses.map(createPoolKey));
        [...this.pools].filter(([key]) => !keptKeys.has(key)).forEach(([key, pool]) => {
            this.pools.delete(key);
            void pool.close();
        });
    }

    /** Closes all connections once their pending requests have ended. */
    async stop(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.close()));
    }
}
