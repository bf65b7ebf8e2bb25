/** Pool of HTTP connections to one address, with one request at a time on each connection. */
import { connect, type Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { type Dispatch, ExcessFramingError, type PooledHandler } from "../../tasks/_lib/attempt";
import { type Address } from "../../types";

/** Timeout for opening a connection, in milliseconds. Allows several round trips between failure domains. */
const connectTimeoutMs = 400;
/** Time after which an idle connection is closed, in milliseconds, unless the server announces a shorter one. */
const idleTimeoutMs = 4_000;
/**
 * Maximum idle time of a connection that is reused for a request that must not run twice, in milliseconds. If the
 * server closed an older connection while the request was in transit, it would be unknown whether the request ran.
 */
const maxSafeIdleMs = 1_000;
/** Time after a foreign answer during which requests that must not run twice use new connections, in milliseconds. */
const foreignAnswerCooldownMs = 5_000;
/**
 * Maximum number of bytes around the body of an answer, in bytes, and how many further ones each byte of the body allows:
 * interim answers, heads, trailers and the framing of chunks. A chunk of one byte without extensions takes five.
 */
const maxFramingBytes = 256 * 1024;
const maxFramingPerBodyByte = 8;

interface Connection {
    readonly client: Client;
    idleSinceMs: number;
    /** Whether the current socket has carried an answer. */
    isReused: boolean;
    /** Handler of the current request; undefined while the connection is idle. */
    handler: ReleasingHandler | undefined;
}

/** Clock of a connection pool, and a callback for received data. */
export interface ConnectionPoolOptions {
    /** Returns the monotonic time, in milliseconds. */
    readonly readNowMs: () => number;
    /** Called whenever data arrives, which shows that the server is responsive. */
    readonly onActivity?: () => void;
}

interface SocketListener {
    readonly onActivity: (() => void) | undefined;
    /** Called with the number of bytes that a socket has received now. */
    readonly onReceived: (socket: Socket, newBytes: number) => void;
    /** Called when a reset looks like the regular end of the connection. */
    readonly onReset: () => void;
}

/**
 * Opens a socket for undici and detects resets that undici takes for the regular end of an answer without a length, so
 * that a truncated answer would look complete. undici does this for the error code ECONNRESET, which is therefore
 * replaced. libuv also reports a plain end when a reset arrives together with data; a socket that was reset then has no
 * remote address any more, whereas one that was closed still has it.
 */
const openSocket = (address: Address, callback: buildConnector.Callback, listener: SocketListener): void => {
    const socket: Socket = connect({ host: address.host, port: address.port, noDelay: true });
    const timer = setTimeout(() => socket.destroy(new Error("the connection timed out")), connectTimeoutMs);
    const handleConnectError = (error: Error): void => {
        clearTimeout(timer);
        callback(error, undefined as never);
    };
    socket.once("error", handleConnectError);
    socket.once("connect", () => {
        clearTimeout(timer);
        socket.removeListener("error", handleConnectError);
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
        socket.on("data", (bytes: Buffer) => listener.onReceived(socket, bytes.length));
        callback(undefined as never, socket);
    });
};

/** Keeps connections alive and reuses the most recently used one, so that surplus connections become idle and close. */
export class ConnectionPool implements Dispatch {
    private readonly idleConnections: Connection[] = [];
    private readonly busyConnections = new Set<Connection>();
    private isClosed = false;
    private cooldownUntilMs = -Infinity;

    constructor(private readonly address: Address, private readonly options: ConnectionPoolOptions) {}

    /** Number of requests without a result. */
    get pending(): number {
        return this.busyConnections.size;
    }

    /** Sends a request over the most recently used idle connection if that is safe for it, else over a new one. */
    dispatch(request: Dispatcher.DispatchOptions, handler: PooledHandler): boolean {
        const isIdempotent = request.idempotent !== false;
        const connection = this.takeConnection(isIdempotent);
        this.busyConnections.add(connection);
        connection.handler = new ReleasingHandler(handler, connection, () => this.release(connection));
        return connection.client.dispatch(request, connection.handler);
    }

    /**
     * Records a foreign answer: the answer to another request arrived on a connection. Idle connections may have the
     * same fault, so requests that must not run twice use new connections for a while.
     */
    recordForeignAnswer(): void {
        this.cooldownUntilMs = this.options.readNowMs() + foreignAnswerCooldownMs;
    }

    /** Closes idle connections at once, and busy ones when their requests have ended. */
    close(): void {
        this.isClosed = true;
        this.idleConnections.splice(0).forEach(({ client }) => void client.destroy());
    }

    /** Aborts all connections and the requests on them. */
    abort(): void {
        this.close();
        this.busyConnections.forEach(({ client }) => void client.destroy());
    }

    private takeConnection(isIdempotent: boolean): Connection {
        const nowMs = this.options.readNowMs();
        while (this.idleConnections.length > 0 && nowMs - this.idleConnections[0]!.idleSinceMs > idleTimeoutMs) {
            void this.idleConnections.shift()!.client.destroy();
        }
        const mostRecentConnection = this.idleConnections[this.idleConnections.length - 1];
        const isSafe = nowMs > this.cooldownUntilMs && nowMs - (mostRecentConnection?.idleSinceMs ?? 0) < maxSafeIdleMs;
        const isUsable = mostRecentConnection && (isIdempotent || isSafe);
        return isUsable ? this.idleConnections.pop()! : this.createConnection();
    }

    private createConnection(): Connection {
        const client = new Client(`http://${this.address.host}:${this.address.port}`, {
            pipelining: 1,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveMaxTimeout: idleTimeoutMs,
            connect: (unused: buildConnector.Options, callback: buildConnector.Callback) => {
                connection.isReused = false;
                openSocket(this.address, callback, {
                    onActivity: this.options.onActivity,
                    onReceived: (socket, newBytes) => connection.handler?.abortExcessFraming(socket, newBytes),
                    onReset: () => connection.handler?.onError(new Error("the connection was reset")),
                });
            },
        });
        const connection: Connection = { client, idleSinceMs: 0, isReused: false, handler: undefined };
        return connection;
    }

    private release(connection: Connection): void {
        connection.handler = undefined;
        connection.isReused = true;
        this.busyConnections.delete(connection);
        if (this.isClosed) {
            void connection.client.destroy();
            return;
        }
        connection.idleSinceMs = this.options.readNowMs();
        this.idleConnections.push(connection);
    }
}

/** Forwards the events of a request up to its end or first error, and releases the connection at that point. */
class ReleasingHandler implements Dispatcher.DispatchHandlers {
    private isFinished = false;
    private bodyBytes = 0;
    /** Bytes that the socket had received before the answer. */
    private bytesBefore: number | undefined;

    constructor(
        private readonly inner: PooledHandler,
        private readonly connection: Pick<Connection, "isReused">,
        private readonly release: () => void,
    ) {}

    /** Closes the socket if the answer has far more bytes around its body than in it. */
    abortExcessFraming(socket: Socket, newBytes: number): void {
        this.bytesBefore ??= socket.bytesRead - newBytes;
        const framingBytes = socket.bytesRead - this.bytesBefore - this.bodyBytes;
        if (framingBytes > maxFramingBytes + maxFramingPerBodyByte * this.bodyBytes) {
            socket.destroy(new ExcessFramingError(`${framingBytes} bytes around ${this.bodyBytes} bytes of a body`));
        }
    }

    onConnect(abort: (error?: Error) => void): void {
        this.inner.onConnect?.(abort);
    }

    onHeaders(status: number, rawHeaders: Buffer[], resume: () => void, statusText: string): boolean {
        if (this.isFinished) {
            return true;
        }
        if (this.connection.isReused) {
            this.inner.onReused?.();
        }
        return this.inner.onHeaders?.(status, rawHeaders, resume, statusText) ?? true;
    }

    onData(chunk: Buffer): boolean {
        this.bodyBytes += chunk.length;
        return this.isFinished || (this.inner.onData?.(chunk) ?? true);
    }

    onComplete(trailers: string[]): void {
        if (this.finishOnce()) {
            this.inner.onComplete?.(trailers as never);
        }
    }

    onError(error: Error): void {
        if (this.finishOnce()) {
            this.inner.onError?.(error);
        }
    }

    /** Releases the connection at the first call; returns whether this is the first call. */
    private finishOnce(): boolean {
        const isFirstCall = !this.isFinished;
        this.isFinished = true;
        if (isFirstCall) {
            this.release();
        }
        return isFirstCall;
    }
}
