import { type Dispatch } from "../tasks/_lib/attempt";
import { type Address } from "../types";
import { ConnectionPool } from "./connectionPool";

/** Connections to the upstream beside this node, whose address may change. */
export class LocalConnections implements Dispatch {
    private pool: ConnectionPool;

    constructor(private address: Address, private readonly readNowMs: () => number) {
        this.pool = new ConnectionPool(address, { readNowMs });
    }

    dispatch(...args: Parameters<Dispatch["dispatch"]>): ReturnType<Dispatch["dispatch"]> {
        return this.pool.dispatch(...args);
    }

    recordForeignAnswer(): void {
        this.pool.recordForeignAnswer();
    }

    /** Closes the connections once they are idle if the address is another one; returns whether it is. */
    updateAddress(address: Address): boolean {
        const isMoved = this.address.host !== address.host || this.address.port !== address.port;
        if (isMoved) {
            this.pool.close();
            this.address = address;
            this.pool = new ConnectionPool(address, { readNowMs: this.readNowMs });
        }
        return isMoved;
    }

    abort(): void {
        this.pool.abort();
    }
}
