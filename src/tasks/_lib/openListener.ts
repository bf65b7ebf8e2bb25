import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import { closeGraceMs, listenerKeepAliveMs, maxHeaderBytes } from "../../constants";
import { type Address } from "../../types";

/**
 * Opens an HTTP listener and rejects if the address can't be bound.
 * Requests with "Expect: 100-continue" go to the same handler; `HttpCallRequest.readBody` sends the 100.
 */
export const openListener = (
    address: Address,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
    maxHeaderSize = maxHeaderBytes,
): Promise<Server> => {
    const handleRequest = (request: IncomingMessage, response: ServerResponse): void => {
        response.once("finish", () => drainUnreadBody(request));
        handle(request, response);
    };
    const server = createServer({
        keepAlive: true,
        keepAliveTimeout: listenerKeepAliveMs,
        maxHeaderSize,
        requestTimeout: 0,
        noDelay: true,
    }, handleRequest);
    server.on("checkContinue", handleRequest);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => resolve(server));
    });
};

/** Time in which a request may arrive over a connection that has been accepted already, in milliseconds. */
const acceptedRequestMs = 250;

/**
 * Closes a listener. Connections stay open for `acceptedRequestMs`, since a request may be under way on them; then idle
 * ones are closed, and all others after `closeGraceMs` at the latest: a client that keeps sending the body of an answered
 * request would delay the closing otherwise.
 */
export const closeListener = (server: Server): Promise<void> =>
    new Promise(resolve => {
        const idleTimer = setTimeout(() => server.close(), acceptedRequestMs);
        const graceTimer = setTimeout(() => server.closeAllConnections(), closeGraceMs);
        // The method of the HTTP server would also close idle connections at once.
        NetServer.prototype.close.call(server, () => {
            clearTimeout(idleTimer);
            clearTimeout(graceTimer);
            server.close();
            resolve();
        });
    });

/** Discards the rest of the body of a request that was answered before its body was complete. */
const drainUnreadBody = (request: IncomingMessage): void => {
    if (!request.complete && !request.destroyed) {
        request.unpipe();
        request.resume();
    }
};
