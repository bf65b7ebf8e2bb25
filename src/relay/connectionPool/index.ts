/** Connections to one address, one request at a time on each. */
import { connect, type Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { type Dispatch } from "../../tasks/_lib/attempt";
import { type Address } from "../../types";

/** Time allowed for a new connection, in milliseconds; several round trips between failure domains. */
const connectTimeoutMs = 400;
/** Idle connections are closed after this time, in milliseconds, unless the server has stated a shorter one. */
const idleTimeoutMs = 4_000;
/**
 * An idle connection younger than this may carry a request that must not run twice, in milliseconds. Closing by the
 * server, which crosses with the request, would leave open whether it ran.
 */
const safeIdleMs = 1_000;
/** Time for which connections are not used again after one has carried a foreign answer, in milliseconds. */
const distrustMs = 5_000;

interface Connection {
    readonly client: Client;
    idleSinceMs: number;
}

/** Options of a pool. */
export interface ConnectionPoolOptions {
    /** Steady time in milliseconds. */
    readonly readNowMs: () => number;
    /** Told of each byte that arrives, as a sign of life. */
    readonly onActivity?: () => void;
}

/**
 * Opens a socket for undici. A reset is reported under another code: undici takes ECONNRESET for the regular end of an
 * answer without a length, which would make a truncated answer look whole.
 */
const openSocket = (address: Address, callback: buildConnector.Callback, onActivity?: () => void): void => {
    const socket: Socket = connect({ host: address.host, port: address.port, noDelay: true });
    const timer = setTimeout(() => socket.destroy(new Error("the connection timed out")), connectTimeoutMs);
    const fail = (error: Error): void => {
        clearTimeout(timer);
        callback(error, undefined as never);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
        clearTimeout(timer);
        socket.removeListener("error", fail);
        socket.on("error", (error: NodeJS.ErrnoException) => {
            error.code = error.code === "ECONNRESET" ? "POMELOVALVE_RESET" : error.code;
        });
        if (onActivity) {
            socket.on("data", onActivity);
        }
        callback(undefined as never, socket);
    });
};

/** Owns kept-alive connections; the one that was used last is taken first, so that unneeded ones time out. */
export class ConnectionPool implements Dispatch {
    private readonly idle: Connection[] = [];
    private readonly busy = new Set<Connection>();
    private closed = false;
    private distrustedUntilMs = -Infinity;

    constructor(private readonly address: Address, private readonly options: ConnectionPoolOptions) {}

    /** Number of requests under way. */
    get pending(): number {
        return this.busy.size;
    }

    /** Sends a request on an idle connection or on a new one. */
    dispatch(request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandlers): boolean {
        const isRepeatable = request.idempotent !== false;
        const connection = this.take(isRepeatable);
        this.busy.add(connection);
        return connection.client.dispatch(request, new ReleasingHandler(handler, () => this.release(connection)));
    }

    /**
     * Records that a connection has carried an answer to another request. Others may be about to, so for a while requests
     * that must not run twice get new connections.
     */
    recordForeignAnswer(): void {
        this.distrustedUntilMs = this.options.readNowMs() + distrustMs;
    }

    /** Closes idle connections at once and the others when their requests have ended. */
    close(): void {
        this.closed = true;
        this.idle.splice(0).forEach(({ client }) => void client.destroy());
    }

    /** Breaks all connections off. */
    abort(): void {
        this.close();
        this.busy.forEach(({ client }) => void client.destroy());
    }

    private take(isRepeatable: boolean): Connection {
        const nowMs = this.options.readNowMs();
        while (this.idle.length > 0 && nowMs - this.idle[0]!.idleSinceMs > idleTimeoutMs) {
            void this.idle.shift()!.client.destroy();
        }
        const latest = this.idle[this.idle.length - 1];
        const isTrusted = nowMs > this.distrustedUntilMs && nowMs - (latest?.idleSinceMs ?? 0) < safeIdleMs;
        const isUsable = latest && (isRepeatable || isTrusted);
        return isUsable ? this.idle.pop()! : this.createConnection();
    }

    private createConnection(): Connection {
        const client = new Client(`http://${this.address.host}:${this.address.port}`, {
            pipelining: 1,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveMaxTimeout: idleTimeoutMs,
            connect: (unused: buildConnector.Options, callback: buildConnector.Callback) =>
                openSocket(this.address, callback, this.options.onActivity),
        });
        return { client, idleSinceMs: 0 };
    }

    private release(connection: Connection): void {
        this.busy.delete(connection);
        if (this.closed) {
            void connection.client.destroy();
            return;
        }
        connection.idleSinceMs = this.options.readNowMs();
        this.idle.push(connection);
    }
}

/** Passes all events on, and gives the connection back at the end. */
class ReleasingHandler implements Dispatcher.DispatchHandlers {
    constructor(private readonly inner: Dispatcher.DispatchHandlers, private readonly release: () => void) {}

    onConnect(abort: (error?: Error) => void): void {
        this.inner.onConnect?.(abort);
    }

    onHeaders(status: number, rawHeaders: Buffer[], resume: () => void, statusText: string): boolean {
        return this.inner.onHeaders?.(status, rawHeaders, resume, statusText) ?? true;
    }

    onData(chunk: Buffer): boolean {
        return this.inner.onData?.(chunk) ?? true;
    }

    onComplete(trailers: string[]): void {
        this.release();
        this.inner.onComplete?.(trailers as never);
    }

    onError(error: Error): void {
        this.release();
        this.inner.onError?.(error);
    }
}
