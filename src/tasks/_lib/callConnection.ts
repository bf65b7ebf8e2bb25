import { type IncomingMessage } from "node:http";
import { type Socket } from "node:net";

/** The requests that one connection has received, whether an answer closes it, and what its end concerns. */
export class CallConnection {
    private static readonly connections = new WeakMap<Socket, CallConnection>();
    private readonly closeHandlers = new Set<() => void>();
    private latest: IncomingMessage | undefined;
    private hasClosingAnswer = false;

    /** Returns the state of the connection that a socket belongs to. */
    static get(socket: Socket): CallConnection {
        const known = CallConnection.connections.get(socket);
        if (known) {
            return known;
        }
        const connection = new CallConnection();
        CallConnection.connections.set(socket, connection);
        socket.once("close", () => connection.closeHandlers.forEach(handle => handle()));
        return connection;
    }

    /** Whether an answer that is being written closes the connection, so that later requests get none. */
    get isClosing(): boolean {
        return this.hasClosingAnswer;
    }

    /** Records a request that has been read. */
    addRequest(request: IncomingMessage): void {
        this.latest = request;
    }

    /** Whether no later request has been read. */
    isLatest(request: IncomingMessage): boolean {
        return this.latest === request;
    }

    /** Calls `handle` when the connection has closed; returns a function that prevents it. */
    onClose(handle: () => void): () => void {
        this.closeHandlers.add(handle);
        return () => void this.closeHandlers.delete(handle);
    }

    /** Records that the answer that is written now closes the connection. */
    beginClosing(): void {
        this.hasClosingAnswer = true;
    }
}
