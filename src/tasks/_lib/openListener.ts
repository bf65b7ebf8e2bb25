import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { keepAliveTimeoutMs, maxHeaderBytes } from "../../constants";
import { type Address } from "../../types";

/** Opens an HTTP listener; requests that expect "100 Continue" reach the same handler. */
export const openListener = (
    address: Address,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Server> => {
    const server = createServer({
        keepAlive: true,
        keepAliveTimeout: keepAliveTimeoutMs,
        maxHeaderSize: maxHeaderBytes,
        requestTimeout: 0,
        noDelay: true,
    }, handle);
    server.on("checkContinue", handle);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => resolve(server));
    });
};

/** Closes a listener once its requests in flight have ended; idle connections are closed at once. */
export const closeListener = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
