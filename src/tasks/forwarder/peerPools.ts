/** Connections to other nodes. */
import { Pool } from "undici";
import { maxConnectionsPerOrigin, poolKeepAliveMs } from "../../constants";
import { type Address } from "../../types";
import { type PeerPools } from "./index";

const createKey = (address: Address): string => `${address.host}:${address.port}`;

/** Owns kept-alive HTTP connections, a pool for each address. */
export class HttpPeerPools implements PeerPools {
    private readonly pools = new Map<string, Pool>();

    open(address: Address): Pool {
        const key = createKey(address);
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
        const kept = new Set(addresses.map(createKey));
        [...this.pools].filter(([key]) => !kept.has(key)).forEach(([key, pool]) => {
            this.pools.delete(key);
            void pool.close();
        });
    }

    /** Closes all connections once their calls have ended. */
    async stop(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.close()));
    }
}
