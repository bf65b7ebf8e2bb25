const initialCapacityBytes = 1024;

/**
 * Collects chunks of bytes in one buffer of its own. A chunk that was read from a socket is a view of all that was read
 * with it, so that a list of short chunks would keep many times their size in memory.
 */
export class ByteAccumulator {
    private bytes: Buffer = Buffer.alloc(0);
    private usedBytes = 0;

    /** Number of bytes that have been added. */
    get length(): number {
        return this.usedBytes;
    }

    /** Copies a chunk. */
    add(chunk: Buffer): void {
        const length = this.usedBytes + chunk.length;
        if (length > this.bytes.length) {
            const capacity = this.usedBytes === 0
                ? length
                : Math.max(initialCapacityBytes, length, 2 * this.bytes.length);
            const grown = Buffer.allocUnsafe(capacity);
            this.bytes.copy(grown, 0, 0, this.usedBytes);
            this.bytes = grown;
        }
        chunk.copy(this.bytes, this.usedBytes);
        this.usedBytes = length;
    }

    /** Returns all bytes and forgets them. */
    take(): Buffer {
        const taken = this.bytes.subarray(0, this.usedBytes);
        this.bytes = Buffer.alloc(0);
        this.usedBytes = 0;
        return taken;
    }
}
