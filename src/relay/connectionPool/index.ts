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
    /** Handler of the request that is under way. */
    handler: ReleasingHandler | undefined;
}

/** Options of a pool. */
export interface ConnectionPoolOptions {
    /** Steady time in milliseconds. */
    readonly readNowMs: () => number;
    /** Told of each byte that arrives, as a sign of life. */
    readonly onActivity?: () => void;
}

/** What the owner of a socket is told. */
interface SocketListener {
    readonly onActivity: (() => void) | undefined;
    readonly onReset: () => void;
}

/**
 * Opens a socket for undici, and finds out resets that undici takes for the regular end of an answer without a length,
 * so that a truncated answer would look whole. It does so for the code ECONNRESET; and libuv reports a plain end when a
 * reset arrives together with data. A connection that was reset has no peer any more, one that was closed still has.
 */
const openSocket = (address: Address, callback: buildConnector.Callback, listener: SocketListener): void => {
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
        socket.once("end", () => {
            if (socket.remoteAddress === undefined) {
                listener.onReset();
            }
        });
        if (listener.onActivity) {
            socket.on("data", listener.onActivity);
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
        const isRetryable = request.idempotent !== false;
        const connection = this.take(isRetryable);
        this.busy.add(connection);
        connection.handler = new ReleasingHandler(handler, () => this.release(connection));
        return connection.client.dispatch(request, connection.handler);
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

    private take(isRetryable: boolean): Connection {
        const nowMs = this.options.readNowMs();
        while (this.idle.length > 0 && nowMs - this.idle[0]!.idleSinceMs > idleTimeoutMs) {
            void this.idle.shift()!.client.destroy();
        }
        const latest = this.idle[this.idle.length - 1];
        const isTrusted = nowMs > this.distrustedUntilMs && nowMs - (latest?.idleSinceMs ?? 0) < safeIdleMs;
        const isUsable = latest && (isRetryable || isTrusted);
        return isUsable ? this.idle.pop()! : this.createConnection();
    }

    private createConnection(): Connection {
        const client = new Client(`http://${this.address.host}:${this.address.port}`, {
            pipelining: 1,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveMaxTimeout: idleTimeoutMs,
            connect: (unused: buildConnector.Options, callback: buildConnector.Callback) =>
                openSocket(this.address, callback, {
                    onActivity: this.options.onActivity,
                    onReset: () => connection.handler?.onError(new Error("the connection was reset")),
                }),
        });
        const connection: Connection = { client, idleSinceMs: 0, handler: undefined };
        return connection;
    }

    private release(connection: Connection): void {
        connection.handler = undefined;
        this.busy.delete(connection);
        if (this.closed) {
            void connection.client.destroy();
            return;
        }
        connection.idleSinceMs = this.options.readNowMs();
        this.idle.push(connection);
    }
}

/** Passes events on up to the first one that ends the request, and then gives the connection back. */
class ReleasingHandler implements Dispatcher.DispatchHandlers {
    private isDone = false;

    constructor(private readonly inner: Dispatcher.DispatchHandlers, private readonly release: () => void) {}

    onConnect(abort: (error?: Error) => void): void {
        this.inner.onConnect?.(abort);
    }

    onHeaders(status: number, rawHeaders: Buffer[], resume: () => void, statusText: string): boolean {
        return this.isDone || (this.inner.onHeaders?.(status, rawHeaders, resume, statusText) ?? true);
    }

    onData(chunk: Buffer): boolean {
        return this.isDone || (this.inner.onData?.(chunk) ?? true);
    }

    onComplete(trailers: string[]): void {
        if (this.takeEnd()) {
            this.inner.onComplete?.(trailers as never);
        }
    }

    onError(error: Error): void {
        if (this.takeEnd()) {
            this.inner.onError?.(error);
        }
    }

    private takeEnd(): boolean {
        const isFirst = !this.isDone;
        this.isDone = true;
        if (isFirst) {
            this.release();
        }
        return isFirst;
    }
}
