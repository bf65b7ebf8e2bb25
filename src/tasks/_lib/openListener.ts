import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { closeGraceMs, listenerKeepAliveMs, maxHeaderBytes } from "../../constants";
import { type Address } from "../../types";

/** Opens an HTTP listener; requests that expect "100 Continue" reach the same handler. */
export const openListener = (
    address: Address,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
    maxHeaderSize = maxHeaderBytes,
): Promise<Server> => {
    const handleOnce = (request: IncomingMessage, response: ServerResponse): void => {
        response.once("finish", () => endUnread(request));
        handle(request, response);
    };
    const server = createServer({
        keepAlive: true,
        keepAliveTimeout: listenerKeepAliveMs,
        maxHeaderSize,
        requestTimeout: 0,
        noDelay: true,
    }, handleOnce);
    server.on("checkContinue", handleOnce);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => resolve(server));
    });
};

/**
 * Closes a listener whose requests have been answered; idle connections are closed at once.
 * A connection over which an answered request still sends its body is broken off after a grace time.
 */
export const closeListener = (server: Server): Promise<void> =>
    new Promise(resolve => {
        const timer = setTimeout(() => server.closeAllConnections(), closeGraceMs);
        server.close(() => {
            clearTimeout(timer);
            resolve();
        });
        server.closeIdleConnections();
    });

/** Reads on to the end of a request that has been answered before all of its body came. */
const endUnread = (request: IncomingMessage): void => {
    if (!request.complete && !request.destroyed) {
        request.unpipe();
        request.resume();
    }
};
